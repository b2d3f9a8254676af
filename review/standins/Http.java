package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ThreadLocalRandom;

/** A small HTTP server and client on loopback. */
final class Http {
    /** A loopback address of this run alone, so that its ports are free of other processes' connections. */
    static final String HOST =
            "127.%d.%d.1".formatted(ThreadLocalRandom.current().nextInt(1, 255), ProcessHandle.current().pid() % 250);
    private static final Set<Integer> TAKEN = ConcurrentHashMap.newKeySet();

    private Http() {
    }

    /** A complete response, or status 0 if there was none. */
    record Answer(int status, String body) {
    }

    interface Handler {
        Answer handle(HttpExchange exchange, Map<String, String> query, String body) throws Exception;
    }

    /** A running server; closing it closes its listener and resets its connections. */
    static final class Server {
        private final HttpServer server;
        private final ExecutorService threads = Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task);
            thread.setDaemon(true);
            return thread;
        });

        Server(int port, Handler handler) throws IOException {
            server = HttpServer.create(new InetSocketAddress(HOST, port), 512);
            server.setExecutor(threads);
            server.createContext("/", exchange -> {
                try (exchange) {
                    String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
                    Answer answer = handler.handle(exchange, query(exchange), body);
                    // Without an answer, the connection is closed.
                    if (answer == null) return;
                    byte[] bytes = answer.body().getBytes(StandardCharsets.UTF_8);
                    exchange.getResponseHeaders().set("Content-Type", "application/json");
                    exchange.sendResponseHeaders(answer.status(), bytes.length == 0 ? -1 : bytes.length);
                    exchange.getResponseBody().write(bytes);
                } catch (IOException | InterruptedException e) {
                    // The caller has gone, or the server is closed.
                } catch (Exception e) {
                    e.printStackTrace();
                }
            });
            server.start();
        }

        String address() {
            return HOST + ":" + server.getAddress().getPort();
        }

        void close() {
            server.stop(0);
            threads.shutdownNow();
        }
    }

    private static Map<String, String> query(HttpExchange exchange) {
        Map<String, String> query = new HashMap<>();
        String raw = exchange.getRequestURI().getRawQuery();
        if (raw == null) return query;
        for (String pair : raw.split("&")) {
            int equals = pair.indexOf('=');
            query.put(pair.substring(0, equals), URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
        return query;
    }

    /** Sends one request on a connection of its own. */
    static Answer send(String address, String method, String path, String host, String body, int waitMillis) {
        int colon = address.lastIndexOf(':');
        try (Socket socket = new Socket()) {
            socket.connect(
                    new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
                    1_000);
            socket.setTcpNoDelay(true);
            socket.setSoTimeout(waitMillis);
            byte[] content = body.getBytes(StandardCharsets.UTF_8);
            String head = method + " " + path + " HTTP/1.1\r\nHost: " + host
                    + "\r\nContent-Type: application/json\r\nX-Deadline-Ms: " + waitMillis
                    + "\r\nConnection: close\r\nContent-Length: " + content.length + "\r\n\r\n";
            ByteArrayOutputStream request = new ByteArrayOutputStream();
            request.write(head.getBytes(StandardCharsets.US_ASCII));
            request.write(content);
            socket.getOutputStream().write(request.toByteArray());
            return readAnswer(socket.getInputStream());
        } catch (IOException e) {
            return new Answer(0, String.valueOf(e.getMessage()));
        }
    }

    private static Answer readAnswer(InputStream in) throws IOException {
        String text = new String(in.readAllBytes(), StandardCharsets.UTF_8);
        int end = text.indexOf("\r\n\r\n");
        if (end < 0) return new Answer(0, "no complete response");
        return new Answer(Integer.parseInt(text.substring(9, 12)), text.substring(end + 4));
    }

    /** A free port. */
    static int freePort() {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(15_000, 30_000);
            if (!TAKEN.add(port)) continue;
            try (ServerSocket socket = new ServerSocket()) {
                socket.setReuseAddress(false);
                socket.bind(new InetSocketAddress(HOST, port));
                return port;
            } catch (IOException e) {
                // Another process has it.
            }
        }
    }
}
