package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;

/** HTTP/1.1 over plain sockets on loopback, one thread for each connection: a small server, and a client with one connection. */
final class HttpEndpoint {
    /** Largest request body of the protocols. */
    static final int MAX_REQUEST_BYTES = 64 * 1024;

    private HttpEndpoint() {}

    /** A request or a response. The first line is split at spaces. */
    record Message(String[] start, byte[] body, boolean keepAlive) {
        String method() {
            return start[0];
        }

        String path() {
            return start[1];
        }

        int status() {
            return Integer.parseInt(start[1]);
        }

        String text() {
            return new String(body, StandardCharsets.UTF_8);
        }
    }

    /** The answer of a handler. A null answer means that the connection is closed without one. */
    record Answer(int status, byte[] body) {
        static Answer json(int status, String json) {
            return new Answer(status, json.getBytes(StandardCharsets.UTF_8));
        }
    }

    interface Handler {
        Answer handle(Message request) throws Exception;
    }

    /** A server on a free loopback port; it runs until the process ends. */
    static int serve(Handler handler) throws IOException {
        ServerSocket server = new ServerSocket();
        server.setReuseAddress(true);
        server.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
        daemon(() -> {
            while (true) {
                Socket socket = server.accept();
                daemon(() -> serveConnection(socket, handler));
            }
        });
        return server.getLocalPort();
    }

    interface Body {
        void run() throws Exception;
    }

    static Thread daemon(Body body) {
        Thread thread = new Thread(null, () -> {
            try {
                body.run();
            } catch (IOException | InterruptedException e) {
                // The connection or the process has ended.
            } catch (Exception e) {
                e.printStackTrace();
            }
        }, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private static void serveConnection(Socket socket, Handler handler) throws Exception {
        try (socket) {
            socket.setTcpNoDelay(true);
            InputStream in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
            while (true) {
                Message request = read(in);
                if (request == null) {
                    return;
                }
                Answer answer = handler.handle(request);
                if (answer == null) {
                    return;
                }
                String head = "HTTP/1.1 " + answer.status() + " x\r\nContent-Type: application/json\r\nContent-Length: "
                        + answer.body().length + "\r\n" + (request.keepAlive() ? "" : "Connection: close\r\n") + "\r\n";
                write(socket, head, answer.body());
                if (!request.keepAlive()) {
                    return;
                }
            }
        }
    }

    private static void write(Socket socket, String head, byte[] body) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream(head.length() + body.length);
        out.write(head.getBytes(StandardCharsets.ISO_8859_1));
        out.write(body);
        socket.getOutputStream().write(out.toByteArray());
        socket.getOutputStream().flush();
    }

    /** Reads a message; null at the end of the connection. */
    private static Message read(InputStream in) throws IOException {
        String start = line(in);
        if (start == null) {
            return null;
        }
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(Locale.ROOT), line.substring(colon + 1).trim());
        }
        byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
        return new Message(start.split(" ", 3), body, !"close".equalsIgnoreCase(headers.get("connection")));
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder out = new StringBuilder();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) {
                return null;
            }
            if (c != '\r') {
                out.append((char) c);
            }
        }
        return out.toString();
    }

    /** A client with one keep-alive connection to one loopback port at a time. */
    static final class Client {
        private final int port;
        private Socket socket;
        private InputStream in;

        Client(int port) {
            this.port = port;
        }

        /** Sends one request; null if there is no answer within the time. */
        Message send(String method, String path, String body, int timeoutMillis) {
            boolean reused = socket != null;
            Message answer = attempt(method, path, body, timeoutMillis);
            // An idle connection may have been closed by the other side: that says nothing about this request.
            if (answer == null && reused && closedBeforeAnswer) {
                answer = attempt(method, path, body, timeoutMillis);
            }
            return answer;
        }

        private boolean closedBeforeAnswer;

        private Message attempt(String method, String path, String body, int timeoutMillis) {
            closedBeforeAnswer = false;
            long deadline = System.nanoTime() + timeoutMillis * 1_000_000L;
            try {
                if (socket == null) {
                    socket = new Socket();
                    socket.setTcpNoDelay(true);
                    socket.connect(
                            new InetSocketAddress(InetAddress.getLoopbackAddress(), port), Math.min(timeoutMillis, 500));
                    in = new BufferedInputStream(socket.getInputStream(), 16 * 1024);
                }
                byte[] bytes = body == null ? new byte[0] : body.getBytes(StandardCharsets.UTF_8);
                socket.setSoTimeout((int) Math.max(1, (deadline - System.nanoTime()) / 1_000_000L));
                write(socket, method + " " + path + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
                        + "Content-Length: " + bytes.length + "\r\n\r\n", bytes);
                Message answer = read(in);
                if (answer == null) {
                    closedBeforeAnswer = true;
                    close();
                    return null;
                }
                if (!answer.keepAlive()) {
                    close();
                }
                return answer;
            } catch (java.net.SocketTimeoutException e) {
                close();
                return null;
            } catch (IOException e) {
                closedBeforeAnswer = true;
                close();
                return null;
            }
        }

        void close() {
            try {
                if (socket != null) {
                    socket.close();
                }
            } catch (IOException e) {
                // It is closed.
            }
            socket = null;
        }
    }
}
