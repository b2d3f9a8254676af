package review3;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ThreadLocalRandom;

/** A small HTTP/1.1 server on loopback with one thread for each connection, and a client. */
final class Http {
    record Request(String method, String path, Map<String, String> query, Map<String, String> headers, String body) {}

    /** A response; with {@code silent}, nothing is sent on the connection any more, and it stays open. */
    record Response(int status, String body, boolean silent) {
        Response(int status, String body) {
            this(status, body, false);
        }

        static final Response SILENT = new Response(0, "", true);
    }

    interface Handler {
        Response handle(Request request) throws Exception;
    }

    private static final int BLOCK_PORTS = 250;

    /** Holds the first port of a block, so that scripts beside each other use different ones. */
    private static ServerSocket block;
    private static int nextPort;

    /** A free port below the range that the system hands out to clients. */
    static synchronized int freePort() {
        while (true) {
            if (block == null || nextPort >= block.getLocalPort() + BLOCK_PORTS) {
                int first = 10_000 + BLOCK_PORTS * ThreadLocalRandom.current().nextInt(80);
                try {
                    block = new ServerSocket(first, 1, InetAddress.getLoopbackAddress());
                    nextPort = first + 1;
                } catch (IOException e) {
                    continue;
                }
            }
            int port = nextPort++;
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return port;
            } catch (IOException e) {
                // Another process has it.
            }
        }
    }

    /**
     * Listens on a port of {@link #freePort}.
     *
     * A process that is just being started may hold a copy of the socket by which the port was tried, so this tries again.
     */
    static ServerSocket listen(int port) throws IOException {
        for (int tries = 0; ; tries++) {
            ServerSocket listener = new ServerSocket();
            try {
                listener.setReuseAddress(true);
                listener.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), 256);
                return listener;
            } catch (IOException e) {
                listener.close();
                if (tries == 100) throw new IOException("cannot listen on port " + port, e);
            }
            Recorder.sleep(20);
        }
    }

    /** Listens until it is closed, which resets all connections, like the end of a process. */
    static final class Server implements AutoCloseable {
        private final ServerSocket listener;
        private final Handler handler;
        private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
        private volatile boolean closed;

        Server(int port, Handler handler) throws IOException {
            this.handler = handler;
            listener = listen(port);
            thread(this::accept);
        }

        private void accept() {
            while (!closed) {
                try {
                    Socket socket = listener.accept();
                    socket.setTcpNoDelay(true);
                    connections.add(socket);
                    if (closed) reset(socket);
                    thread(() -> serve(socket));
                } catch (IOException e) {
                    if (!closed) e.printStackTrace();
                }
            }
        }

        private void serve(Socket socket) {
            try (socket) {
                InputStream in = new BufferedInputStream(socket.getInputStream());
                while (true) {
                    Request request = read(in);
                    if (request == null) return;
                    Response response;
                    try {
                        response = handler.handle(request);
                    } catch (InterruptedException e) {
                        return;
                    } catch (Exception e) {
                        e.printStackTrace();
                        response = new Response(500, "{}");
                    }
                    if (closed) return;
                    if (response.silent()) {
                        while (in.read() >= 0) continue;
                        return;
                    }
                    byte[] body = response.body().getBytes(StandardCharsets.UTF_8);
                    ByteArrayOutputStream out = new ByteArrayOutputStream();
                    String head = "HTTP/1.1 " + response.status() + " x\r\ncontent-type: application/json\r\ncontent-length: "
                            + body.length + "\r\n\r\n";
                    out.write(head.getBytes(StandardCharsets.US_ASCII));
                    out.write(body);
                    socket.getOutputStream().write(out.toByteArray());
                    socket.getOutputStream().flush();
                }
            } catch (IOException e) {
                // The other side has closed the connection.
            } finally {
                connections.remove(socket);
            }
        }

        @Override
        public void close() {
            closed = true;
            try {
                listener.close();
            } catch (IOException e) {
                e.printStackTrace();
            }
            connections.forEach(Server::reset);
        }

        private static void reset(Socket socket) {
            try {
                socket.setSoLinger(true, 0);
                socket.close();
            } catch (IOException e) {
                // It is closed already.
            }
        }
    }

    static void thread(Runnable action) {
        Thread thread = new Thread(null, action, "stand-in", 256 * 1024);
        thread.setDaemon(true);
        thread.start();
    }

    private static String line(InputStream in) throws IOException {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        for (int c = in.read(); c != '\n'; c = in.read()) {
            if (c < 0) return null;
            if (c != '\r') out.write(c);
        }
        return out.toString(StandardCharsets.UTF_8);
    }

    private static Map<String, String> headers(InputStream in) throws IOException {
        Map<String, String> headers = new HashMap<>();
        for (String line = line(in); line != null && !line.isEmpty(); line = line(in)) {
            int colon = line.indexOf(':');
            headers.put(line.substring(0, colon).toLowerCase(), line.substring(colon + 1).trim());
        }
        return headers;
    }

    private static Request read(InputStream in) throws IOException {
        String first = line(in);
        if (first == null) return null;
        String[] words = first.split(" ");
        Map<String, String> headers = headers(in);
        String body = body(in, headers);
        int mark = words[1].indexOf('?');
        Map<String, String> query = new HashMap<>();
        if (mark >= 0) {
            for (String pair : words[1].substring(mark + 1).split("&")) {
                int equals = pair.indexOf('=');
                query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
            }
        }
        return new Request(words[0], mark < 0 ? words[1] : words[1].substring(0, mark), query, headers, body);
    }

    private static String body(InputStream in, Map<String, String> headers) throws IOException {
        int length = Integer.parseInt(headers.getOrDefault("content-length", "0"));
        return new String(in.readNBytes(length), StandardCharsets.UTF_8);
    }

    /** Sends one request on a new connection; the status is 0 if there is no answer within the timeout. */
    static Response call(int port, String method, String path, Map<String, String> headers, String body, int timeoutMillis) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), timeoutMillis);
            socket.setSoTimeout(timeoutMillis);
            socket.setTcpNoDelay(true);
            byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
            StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\n");
            headers.forEach((name, value) -> head.append(name).append(": ").append(value).append("\r\n"));
            head.append("content-type: application/json\r\ncontent-length: ").append(bytes.length).append("\r\n\r\n");
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write(head.toString().getBytes(StandardCharsets.US_ASCII));
            out.write(bytes);
            socket.getOutputStream().write(out.toByteArray());
            InputStream in = new BufferedInputStream(socket.getInputStream());
            String first = line(in);
            if (first == null) return new Response(0, "the connection was closed");
            Map<String, String> answer = headers(in);
            return new Response(Integer.parseInt(first.split(" ")[1]), body(in, answer));
        } catch (IOException e) {
            return new Response(0, e.toString());
        }
    }
}
