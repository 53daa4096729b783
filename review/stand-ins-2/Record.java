import java.io.PrintWriter;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. Thread safe. */
final class Record implements AutoCloseable {
    private final PrintWriter writer;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws java.io.IOException {
        writer = new PrintWriter(java.nio.file.Files.newBufferedWriter(file));
    }

    /** Returns the seconds since the start. */
    double seconds() {
        return (System.nanoTime() - startNanos) / 1e9;
    }

    synchronized void line(String format, Object... values) {
        String text = String.format(Locale.ROOT, "%8.3f ", seconds()) + String.format(Locale.ROOT, format, values);
        writer.println(text);
        writer.flush();
        if (System.getenv("VERBOSE") != null) {
            System.out.println(text);
        }
    }

    @Override
    public void close() {
        writer.close();
    }
}
