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
 * A log handler that writes records as JSON lines on a separate writer thread. It never blocks the logging thread:
 * records that exceed the rate limit of their event, or that do not fit into the queue because the output is blocked,
 * are omitted and counted. The count is written before the next line of the event. Half of the queue is reserved for
 * records of level WARNING and above. Thread safe.
 */
public final class BoundedLog extends Handler {
    /** Maximum lines of one event in a second, so that a burst of failures still shows every kind of failure. */
    static final int MAXIMUM_LINES_PER_SECOND = 50;
    /** Maximum lines that are queued for the writer thread; about 1 MB. */
    static final int QUEUE_CAPACITY = 2048;

    private static final int WRITE_BATCH = 128;
    private static final long CLOSE_TIMEOUT_MILLIS = 500;

    private final OutputStream output;
    private final Clock clock;
    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final Map<Integer, Rate> rates = new HashMap<>();
    private final Thread writer;
    private volatile boolean closed;

    /** Creates a log and starts its writer thread, which writes to the stream until the log is closed. */
    public BoundedLog(OutputStream output, Clock clock) {
        this.output = output;
        this.clock = clock;
        writer = new Thread(this::runWriter, "log");
        writer.setDaemon(true);
        writer.start();
    }

    @Override
    public void publish(LogRecord logRecord) {
        if (!isLoggable(logRecord) || closed) {
            return;
        }
        int event = JsonLines.eventNumber(logRecord);
        boolean warningOrHigher = logRecord.getLevel().intValue() >= Level.WARNING.intValue();
        List<String> lines = new ArrayList<>();
        synchronized (rates) {
            Rate rate = rates.computeIfAbsent(event, absent -> new Rate());
            boolean informationShareFull = !warningOrHigher && queue.remainingCapacity() < QUEUE_CAPACITY / 2;
            if (!rate.admits(clock.millis()) || informationShareFull) {
                rate.omitted++;
                return;
            }
            if (rate.omitted > 0) {
                lines.add(JsonLines.omitted(clock.instant(), event, rate.omitted));
                rate.omitted = 0;
            }
        }
        lines.add(JsonLines.line(logRecord));
        for (String line : lines) {
            if (!queue.offer(line)) {
                countOmitted(event);
            }
        }
    }

    @Override
    public void flush() {
        // The writer thread flushes the stream after each batch.
    }

    /** Stops the writer thread, which writes at most one more batch of lines; waits for it with a time limit. */
    @Override
    public void close() {
        closed = true;
        writer.interrupt();
        try {
            writer.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void countOmitted(int event) {
        synchronized (rates) {
            rates.computeIfAbsent(event, absent -> new Rate()).omitted++;
        }
    }

    private void runWriter() {
        try {
            while (!closed) {
                writeBatch(queue.poll(1, TimeUnit.DAYS));
            }
        } catch (InterruptedException exception) {
            // The log is being closed.
        }
        // Lines may have been queued during the last write.
        writeBatch(null);
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
            // The output is the only place where the failure could be reported, so the lines are lost.
            closed = true;
        }
    }

    /** Counts the lines of one event in the current second, and its omitted records. Guarded by the map of rates. */
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
            return lines <= MAXIMUM_LINES_PER_SECOND;
        }
    }
}
