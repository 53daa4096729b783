package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;

/** Writes what was sent, answered and run, with the time since the start in milliseconds. Thread safe. */
final class Journal implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Journal(Path file) throws IOException {
        writer = new PrintWriter(file.toFile(), StandardCharsets.UTF_8);
    }

    long millis() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void add(String format, Object... arguments) {
        writer.printf("%7d ms  %s%n", millis(), String.format(format, arguments));
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
