package org.basilrill.scaffold.measure;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

/**
 * Processor time, memory and threads of one Java process, read from {@code /proc}. Immutable.
 *
 * @param processorTimeNanos processor time since the start in user and kernel mode, with a resolution of 10 ms
 * @param atNanos monotonic time at which the values were read
 */
record ProcessUsage(long processorTimeNanos, long residentBytes, int threads, long atNanos) {
    /** Common Linux builds report processor time in ticks of 10 ms. */
    private static final long NANOS_PER_TICK = TimeUnit.MILLISECONDS.toNanos(10);

    private static final int USER_TICKS_FIELD = 11;
    private static final int KERNEL_TICKS_FIELD = 12;
    private static final int THREADS_FIELD = 17;
    private static final int RESIDENT_PAGES_FIELD = 21;
    private static final long PAGE_BYTES = 4096;

    static ProcessUsage of(long processId) {
        try {
            String text = Files.readString(Path.of("/proc/" + processId + "/stat"));
            // The command name may contain spaces; it ends at the last closing parenthesis.
            String[] fields = text.substring(text.lastIndexOf(')') + 2).split(" ");
            long ticks = Long.parseLong(fields[USER_TICKS_FIELD]) + Long.parseLong(fields[KERNEL_TICKS_FIELD]);
            return new ProcessUsage(
                    ticks * NANOS_PER_TICK,
                    Long.parseLong(fields[RESIDENT_PAGES_FIELD]) * PAGE_BYTES,
                    Integer.parseInt(fields[THREADS_FIELD]),
                    System.nanoTime());
        } catch (IOException exception) {
            throw new UncheckedIOException("process " + processId + " cannot be read from /proc", exception);
        }
    }

    /** Triggers a full garbage collection and returns the size of the live objects in bytes. */
    static long liveHeapBytes(long processId) {
        try {
            Process histogram = new ProcessBuilder("jcmd", Long.toString(processId), "GC.class_histogram").start();
            String text = new String(histogram.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
            String total = text.substring(text.lastIndexOf("Total"));
            return Long.parseLong(total.trim().split("\\s+")[2]);
        } catch (IOException exception) {
            throw new UncheckedIOException("jcmd cannot be started or its output cannot be read", exception);
        }
    }

    /** Returns the processor time used since an earlier reading, in percent of one core. */
    double corePercentSince(ProcessUsage earlier) {
        return 100.0 * (processorTimeNanos - earlier.processorTimeNanos) / (atNanos - earlier.atNanos);
    }

    double residentMebibytes() {
        return residentBytes / (double) (1 << 20);
    }
}
