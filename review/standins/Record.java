package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;

/** The record of a run: what was sent, answered, started and ended, with milliseconds since the start. */
final class Record implements AutoCloseable {
    private final PrintWriter out;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
        out = new PrintWriter(Files.newBufferedWriter(file));
    }

    long nowMillis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String line) {
        out.printf("%8d  %s%n", nowMillis(), line);
        out.flush();
    }

    /** Adds a line that is also printed. */
    void say(String line) {
        add(line);
        System.out.println(line);
    }

    @Override
    public synchronized void close() {
        out.close();
    }
}
