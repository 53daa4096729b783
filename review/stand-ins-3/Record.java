import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. Thread safe. */
final class Record implements AutoCloseable {
    private final long startNanos = System.nanoTime();
    private final PrintWriter writer;

    Record(Path file) throws IOException {
        writer = new PrintWriter(Files.newBufferedWriter(file));
    }

    synchronized void add(String line) {
        writer.printf(Locale.ROOT, "%7.3f s  %s%n", (System.nanoTime() - startNanos) / 1e9, line);
        writer.flush();
    }

    @Override
    public synchronized void close() {
        writer.close();
    }
}
