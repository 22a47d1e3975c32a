package io.micatide.net;

import io.netty.bootstrap.Bootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpResponse;
import io.netty.handler.codec.http.HttpClientCodec;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

/**
 * HTTP/1.1 client of one service with a pool of keep-alive connections, each with at most one request in flight. Requests that find no
 * idle connection wait in a queue of limited length; one that does not fit is answered with {@link Reply#NOT_SENT}. Not thread-safe: used
 * from its event loop only.
 */
public final class HttpClient implements Http {
    /** Lists come in pages of at most 512 KiB; only changes of the store can be more. */
    private static final int DEFAULT_MAX_RESPONSE_BYTES = 2 << 20;

    private static final int MAX_QUEUED_CALLS = 200;
    private static final byte[] NO_BODY = new byte[0];

    private final EventLoop loop;
    private final String host;
    private final InetSocketAddress address;
    private final int maxConnections;
    private final int maxResponseBytes;
    /** Open connections without a request in flight; the one used last is used first. */
    private final Deque<Connection> idle = new ArrayDeque<>();
    /** Requests that wait for a connection, oldest first. */
    private final Deque<Call> queue = new ArrayDeque<>();
    /** Number of connections that are open or being opened. */
    private int connections;

    /**
     * Creates a client without connections.
     *
     * @param loop the event loop on which it is used and calls back
     * @param endpoint host and port, separated by a colon
     * @param maxConnections largest number of simultaneous connections
     */
    public HttpClient(EventLoop loop, String endpoint, int maxConnections) {
        this(loop, endpoint, maxConnections, DEFAULT_MAX_RESPONSE_BYTES);
    }

    /**
     * Creates a client without connections.
     *
     * @param loop the event loop on which it is used and calls back
     * @param endpoint host and port, separated by a colon
     * @param maxConnections largest number of simultaneous connections
     * @param maxResponseBytes largest body of a response; a larger one ends the request with {@link Reply#TOO_LARGE}
     */
    public HttpClient(EventLoop loop, String endpoint, int maxConnections, int maxResponseBytes) {
        int colon = endpoint.lastIndexOf(':');
        this.loop = loop;
        this.host = endpoint;
        this.address =
                new InetSocketAddress(endpoint.substring(0, colon), Integer.parseInt(endpoint.substring(colon + 1)));
        this.maxConnections = maxConnections;
        this.maxResponseBytes = maxResponseBytes;
    }

    /** A request and its callback. */
    private static final class Call {
        final HttpMethod method;
        final String path;
        final byte[] body;
        final Consumer<Reply> callback;
        ScheduledFuture<?> timeout;
        /** The connection on which the request was sent, null while it waits in the queue. */
        Connection connection;

        /** Whether the callback was called. */
        boolean isFinished;

        Call(HttpMethod method, String path, byte[] body, Consumer<Reply> callback) {
            this.method = method;
            this.path = path;
            this.body = body;
            this.callback = callback;
        }
    }

    @Override
    public void get(String path, long timeoutMicros, Consumer<Reply> callback) {
        send(HttpMethod.GET, path, NO_BODY, timeoutMicros, callback);
    }

    @Override
    public void post(String path, byte[] body, long timeoutMicros, Consumer<Reply> callback) {
        send(HttpMethod.POST, path, body, timeoutMicros, callback);
    }

    @Override
    public void delete(String path, long timeoutMicros, Consumer<Reply> callback) {
        send(HttpMethod.DELETE, path, NO_BODY, timeoutMicros, callback);
    }

    @Override
    public void close() {
        idle.forEach(connection -> connection.channel.close());
    }

    private void send(HttpMethod method, String path, byte[] body, long timeoutMicros, Consumer<Reply> callback) {
        Call call = new Call(method, path, body, callback);
        if (queue.size() >= MAX_QUEUED_CALLS) {
            callback.accept(Reply.NOT_SENT);
            return;
        }
        call.timeout = loop.schedule(() -> expire(call), timeoutMicros, TimeUnit.MICROSECONDS);
        Connection connection = idle.pollLast();
        while (connection != null && !connection.channel.isActive()) {
            connection = idle.pollLast();
        }
        if (connection != null) {
            connection.start(call);
        } else {
            queue.addLast(call);
            if (connections < maxConnections) {
                connect();
            }
        }
    }

    /**
     * Ends a request whose timeout has expired. A connection with an unanswered request is closed: a late answer on it would be
     * taken for that of its next request.
     */
    private void expire(Call call) {
        if (call.connection != null) {
            Channel channel = call.connection.channel;
            finish(call, Reply.UNANSWERED);
            channel.close();
        } else {
            queue.remove(call);
            finish(call, Reply.NOT_SENT);
        }
    }

    private void finish(Call call, Reply reply) {
        if (!call.isFinished) {
            call.isFinished = true;
            call.timeout.cancel(false);
            call.callback.accept(reply);
        }
    }

    private void connect() {
        connections++;
        Connection connection = new Connection();
        ChannelFuture future = new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, 2_000)
                .handler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline()
                                .addLast(
                                        new HttpClientCodec(),
                                        new Aggregator(connection, maxResponseBytes),
                                        connection);
                    }
                })
                .connect(address);
        connection.channel = future.channel();
        future.addListener(done -> {
            if (!done.isSuccess()) {
                connections--;
                Call call = queue.pollFirst();
                if (call != null) {
                    finish(call, Reply.NOT_SENT);
                }
                if (!queue.isEmpty() && connections == 0) {
                    connect();
                }
            }
        });
    }

    /** Assembles a whole response. Reports one with too large a body as such, and closes the connection. */
    private static final class Aggregator extends HttpObjectAggregator {
        private final Connection connection;

        Aggregator(Connection connection, int maxResponseBytes) {
            super(maxResponseBytes);
            this.connection = connection;
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            connection.finishCall(Reply.TOO_LARGE);
            context.close();
        }
    }

    /** One connection of the pool. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpResponse> {
        private Channel channel;
        /** The request in flight, or null. */
        private Call call;

        @Override
        public void channelActive(ChannelHandlerContext context) {
            startNextOrBecomeIdle();
        }

        private void startNextOrBecomeIdle() {
            Call next = queue.pollFirst();
            if (next != null) {
                start(next);
            } else {
                idle.addLast(this);
            }
        }

        private void start(Call next) {
            call = next;
            next.connection = this;
            ByteBuf body = Unpooled.wrappedBuffer(next.body);
            DefaultFullHttpRequest request =
                    new DefaultFullHttpRequest(HttpVersion.HTTP_1_1, next.method, next.path, body);
            request.headers().set(HttpHeaderNames.HOST, host);
            if (next.method.equals(HttpMethod.POST)) {
                request.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
                request.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, next.body.length);
            }
            channel.writeAndFlush(request, channel.voidPromise());
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpResponse response) {
            boolean keep = HttpUtil.isKeepAlive(response);
            Reply reply = new Reply(response.status().code(), ByteBufUtil.getBytes(response.content()), true);
            if (!keep) {
                context.close();
            }
            finishCall(reply);
            if (keep && channel.isActive() && call == null) {
                startNextOrBecomeIdle();
            }
        }

        /** Ends the request in flight, if there is one. */
        private void finishCall(Reply reply) {
            Call finished = call;
            call = null;
            if (finished != null) {
                finish(finished, reply);
            }
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections--;
            idle.remove(this);
            finishCall(Reply.UNANSWERED);
            if (!queue.isEmpty() && connections < maxConnections) {
                connect();
            }
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
