package review3;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Path;

/** Writes record.txt: time since the start in milliseconds, who, what. */
final class Recorder implements AutoCloseable {
    private static final long STARTED_NANOS = System.nanoTime();
    private final PrintWriter out;

    Recorder(Path file) throws IOException {
        out = new PrintWriter(file.toFile(), "UTF-8");
    }

    /** Steady time since the start. */
    static long nowMillis() {
        return (System.nanoTime() - STARTED_NANOS) / 1_000_000;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    static void sleepUntil(long atMillis) {
        sleep(atMillis - nowMillis());
    }

    synchronized void line(String who, String what) {
        out.printf("%7d %-12s %s%n", nowMillis(), who, what);
        out.flush();
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
