package org.basilrill.scaffold.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * What one Java process has used so far, as {@code /proc} tells it.
 *
 * @param processorNanos processor time in user and kernel mode; in steps of 10 ms
 * @param atNanos monotonic time of the reading
 */
record ProcessUsage(long processorNanos, long residentBytes, int threads, long atNanos) {
    /** Linux reports processor time in hundredths of a second on all common builds. */
    private static final long NANOS_PER_TICK = TimeUnit.MILLISECONDS.toNanos(10);

    private static final int USER_TICKS = 11;
    private static final int KERNEL_TICKS = 12;
    private static final int THREADS = 17;
    private static final int RESIDENT_PAGES = 21;
    private static final long PAGE_BYTES = 4096;

    static ProcessUsage of(long process) {
        try {
            String text = Files.readString(Path.of("/proc/" + process + "/stat"));
            // The command name before the last parenthesis may hold spaces.
            String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[USER_TICKS]) + Long.parseLong(fields[KERNEL_TICKS]);
            return new ProcessUsage(
                    ticks * NANOS_PER_TICK,
                    Long.parseLong(fields[RESIDENT_PAGES]) * PAGE_BYTES,
                    Integer.parseInt(fields[THREADS]),
                    System.nanoTime());
        } catch (IOException exception) {
            throw new UncheckedIOException("process " + process + " cannot be read", exception);
        }
    }

    /** Returns the bytes of the live objects after a full collection, which this call causes. */
    static long liveHeapBytes(long process) {
        try {
            Process histogram = new ProcessBuilder("jcmd", Long.toString(process), "GC.class_histogram").start();
            String text = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            String total = text.substring(text.lastIndexOf("Total"));
            return Long.parseLong(total.trim().split("\\s+")[2]);
        } catch (IOException exception) {
            throw new UncheckedIOException("jcmd cannot be run", exception);
        }
    }

    /** Returns the share of one core used since an earlier reading, in percent. */
    double corePercentSince(ProcessUsage earlier) {
        return 100.0 * (processorNanos - earlier.processorNanos) / (atNanos - earlier.atNanos);
    }

    double residentMebibytes() {
        return residentBytes / (double) (1 << 20);
    }
}
