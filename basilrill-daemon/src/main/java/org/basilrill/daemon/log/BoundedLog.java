package org.basilrill.daemon.log;

import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogRecord;

/**
 * Writes log records as JSON lines from a thread of its own. Never blocks the thread that logs: records beyond the rate
 * of their event, or beyond the queue when the reader of the output stalls, are left out and counted, and the count is
 * written later. Half of the queue is kept for warnings and failures. Thread safe.
 */
public final class BoundedLog extends Handler {
    /** Lines of one event in a second; a burst of failures shows its kinds, not each of thousands. */
    static final int LINES_PER_SECOND = 50;
    /** Lines that wait for the writer; about 1 MB. */
    static final int QUEUE_LINES = 2048;

    private static final int WRITE_BATCH = 128;
    private static final long FLUSH_MILLIS = 500;

    private final OutputStream output;
    private final Clock clock;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_LINES);
    private final Map<Integer, Rate> rates = new HashMap<>();
    private final Thread writer;
    private volatile boolean closed;

    /** Creates a log that writes to the stream until it is closed. */
    public BoundedLog(OutputStream output, Clock clock) {
        this.output = output;
        this.clock = clock;
        writer = new Thread(this::write, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord entry) {
        if (!isLoggable(entry) || closed) {
            return;
        }
        int event = JsonLines.eventOf(entry);
        boolean severe = entry.getLevel().intValue() >= Level.WARNING.intValue();
        List<String> lines = new ArrayList<>();
        synchronized (rates) {
            Rate rate = rates.computeIfAbsent(event, absent -> new Rate());
            boolean full = !severe && queue.remainingCapacity() < QUEUE_LINES / 2;
            if (!rate.admits(clock.millis()) || full) {
                rate.omitted++;
                return;
            }
            if (rate.omitted > 0) {
                lines.add(JsonLines.omitted(clock.instant(), event, rate.omitted));
                rate.omitted = 0;
            }
        }
        lines.add(JsonLines.line(entry));
        for (String line : lines) {
            if (!queue.offer(line)) {
                noteOmitted(event);
            }
        }
    }

    @Override
    public void flush() {
        // The writer flushes whenever the queue is empty.
    }

    /** Writes what is queued, for a short time at most, and ends the writer. */
    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(FLUSH_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void noteOmitted(int event) {
        synchronized (rates) {
            rates.computeIfAbsent(event, absent -> new Rate()).omitted++;
        }
    }

    private void write() {
        try {
            while (!closed) {
                writeBatch(queue.poll(1, TimeUnit.DAYS));
            }
        } catch (InterruptedException exception) {
            writeBatch(null);
        }
    }

    private void writeBatch(String first) {
        List<String> batch = new ArrayList<>();
        if (first != null) {
            batch.add(first);
        }
        queue.drainTo(batch, WRITE_BATCH);
        StringBuilder text = new StringBuilder();
        batch.forEach(line -> text.append(line).append('\n'));
        try {
            output.write(text.toString().getBytes(StandardCharsets.UTF_8));
            output.flush();
        } catch (IOException exception) {
            // There is no other place to report that the output is gone; the lines are lost.
            closed = true;
        }
    }

    /** Lines of one event in the present second. */
    private static final class Rate {
        private long second;
        private int lines;
        private long omitted;

        boolean admits(long nowMillis) {
            long now = TimeUnit.MILLISECONDS.toSeconds(nowMillis);
            if (now != second) {
                second = now;
                lines = 0;
            }
            lines++;
            return lines <= LINES_PER_SECOND;
        }
    }
}
