import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;

/** An HTTP server on a loopback address with JSON bodies; each request may block its own thread. */
final class Web implements AutoCloseable {
    interface Handler {
        Answer handle(Call call) throws Exception;
    }

    record Call(String method, String path, Map<String, String> query, Map<String, Object> body, String instance) {}

    record Answer(int status, Object body) {}

    private static final ExecutorService THREADS =
        Executors.newCachedThreadPool(task -> {
            Thread thread = new Thread(task, "stand-in");
            thread.setDaemon(true);
            return thread;
        });

    private final HttpServer server;
    final int port;

    Web(int port, Handler handler) throws IOException {
        server = HttpServer.create(new InetSocketAddress("127.0.0.1", port), 200);
        this.port = server.getAddress().getPort();
        server.setExecutor(THREADS);
        server.createContext("/", exchange -> serve(exchange, handler));
        server.start();
    }

    private static void serve(HttpExchange exchange, Handler handler) throws IOException {
        byte[] bytes = exchange.getRequestBody().readAllBytes();
        Answer answer;
        try {
            String text = new String(bytes, StandardCharsets.UTF_8);
            Map<String, Object> body = text.isBlank() ? Map.of() : Json.object(text);
            Map<String, String> query = new HashMap<>();
            String raw = exchange.getRequestURI().getRawQuery();
            for (String pair : raw == null ? new String[0] : raw.split("&")) {
                String[] parts = pair.split("=", 2);
                query.put(decode(parts[0]), parts.length > 1 ? decode(parts[1]) : "");
            }
            String instance = exchange.getRequestHeaders().getFirst("X-Expect-Instance");
            String path = exchange.getRequestURI().getPath();
            answer = handler.handle(new Call(exchange.getRequestMethod(), path, query, body, instance));
        } catch (Exception e) {
            answer = new Answer(500, Json.map("error", e.toString()));
        }
        if (answer == null) {
            exchange.close();
            return;
        }
        byte[] out = Json.write(answer.body()).getBytes(StandardCharsets.UTF_8);
        try {
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(answer.status(), out.length);
            exchange.getResponseBody().write(out);
        } catch (IOException ignored) {
            // The caller has closed the connection.
        }
        exchange.close();
    }

    private static String decode(String text) {
        return java.net.URLDecoder.decode(text, StandardCharsets.UTF_8);
    }

    @Override
    public void close() {
        server.stop(0);
    }
}
