package io.micatide.net;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBufUtil;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpMessage;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;

/** HTTP/1.1 server with asynchronous answers: a handler may return before its request is answered, also by another actor. */
public final class HttpServer {
    /** Largest request body that the protocols allow; a larger one is answered with status 400. */
    public static final int MAX_BODY_BYTES = 64 * 1024;

    /** Handles requests; must answer each one exactly once, now or later. */
    @FunctionalInterface
    public interface Handler {
        /** Handles one request on the server's event loop. */
        void handle(Request request);
    }

    private final Handler handler;
    private final int maxConnections;
    /** Number of open connections. */
    private int connections;

    /**
     * Creates a server that is not bound yet.
     *
     * @param handler receives the requests
     * @param maxConnections number of open connections from which on each one is closed after its next answer
     */
    public HttpServer(Handler handler, int maxConnections) {
        this.handler = handler;
        this.maxConnections = maxConnections;
    }

    /**
     * Starts to listen.
     *
     * @param loop the event loop that accepts connections and runs the handler
     * @param endpoint host and port, separated by a colon
     * @return completes when the socket is bound or binding has failed
     */
    public ChannelFuture bind(EventLoop loop, String endpoint) {
        int colon = endpoint.lastIndexOf(':');
        return new ServerBootstrap()
                .group(loop)
                .channel(NioServerSocketChannel.class)
                .option(ChannelOption.SO_REUSEADDR, true)
                .option(ChannelOption.SO_BACKLOG, 256)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childHandler(new ChannelInitializer<Channel>() {
                    @Override
                    protected void initChannel(Channel channel) {
                        channel.pipeline().addLast(new HttpServerCodec(), new Aggregator(), new Connection());
                    }
                })
                .bind(new InetSocketAddress(
                        endpoint.substring(0, colon), Integer.parseInt(endpoint.substring(colon + 1))));
    }

    /** A request together with the channel on which it is answered. */
    private static final class Exchange implements Request {
        private final Channel channel;
        private final boolean keepAlive;
        private final String method;
        private final String path;
        private final byte[] body;

        Exchange(Channel channel, boolean keepAlive, String method, String path, byte[] body) {
            this.channel = channel;
            this.keepAlive = keepAlive;
            this.method = method;
            this.path = path;
            this.body = body;
        }

        @Override
        public String method() {
            return method;
        }

        @Override
        public String path() {
            return path;
        }

        @Override
        public byte[] body() {
            return body;
        }

        @Override
        public void answer(int status, byte[] json, int retryAfterSeconds) {
            answer(status, json, retryAfterSeconds, keepAlive);
        }

        @Override
        public void answerAndClose(int status, byte[] json, int retryAfterSeconds) {
            answer(status, json, retryAfterSeconds, false);
        }

        private void answer(int status, byte[] json, int retryAfterSeconds, boolean keep) {
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(status), Unpooled.wrappedBuffer(json));
            response.headers().set(HttpHeaderNames.CONTENT_TYPE, HttpHeaderValues.APPLICATION_JSON);
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, json.length);
            if (retryAfterSeconds > 0) {
                response.headers().setInt(HttpHeaderNames.RETRY_AFTER, retryAfterSeconds);
            }
            if (!keep) {
                response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            }
            ChannelFuture written = channel.writeAndFlush(response);
            if (!keep) {
                written.addListener(done -> channel.close());
            }
        }
    }

    /**
     * Assembles a whole request. Answers one with too large a body with status 400, as the protocols require: clients would retry the
     * usual 413.
     */
    private static final class Aggregator extends HttpObjectAggregator {
        Aggregator() {
            super(MAX_BODY_BYTES);
        }

        @Override
        protected void handleOversizedMessage(ChannelHandlerContext context, HttpMessage oversized) {
            byte[] json = "{\"error\":\"is larger than 64 KiB\",\"field\":\"body\"}"
                    .getBytes(java.nio.charset.StandardCharsets.UTF_8);
            DefaultFullHttpResponse response = new DefaultFullHttpResponse(
                    HttpVersion.HTTP_1_1, HttpResponseStatus.BAD_REQUEST, Unpooled.wrappedBuffer(json));
            response.headers().setInt(HttpHeaderNames.CONTENT_LENGTH, json.length);
            response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
            context.writeAndFlush(response).addListener(done -> context.close());
        }
    }

    /** Passes the requests of one connection to the handler and counts open connections. */
    private final class Connection extends SimpleChannelInboundHandler<FullHttpRequest> {
        @Override
        public void channelActive(ChannelHandlerContext context) {
            connections++;
        }

        @Override
        public void channelInactive(ChannelHandlerContext context) {
            connections--;
        }

        @Override
        protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
            boolean keep = HttpUtil.isKeepAlive(request) && connections < maxConnections;
            handler.handle(new Exchange(
                    context.channel(),
                    keep,
                    request.method().name(),
                    request.uri(),
                    ByteBufUtil.getBytes(request.content())));
        }

        @Override
        public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
            context.close();
        }
    }
}
