package org.basilrill.daemon.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.time.ZoneOffset;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Guards against a log whose memory grows without bound, or that blocks the threads that log. */
class BoundedLogTest {
    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private Clock clock = Clock.fixed(Instant.parse("2026-01-01T00:00:00Z"), ZoneOffset.UTC);

    private static LogRecord info(String message) {
        return new LogRecord(Level.INFO, message);
    }

    private List<String> lines() {
        return output.toString(StandardCharsets.UTF_8).lines().toList();
    }

    @Test
    void eachLineContainsTheEventNumberAndItsData() {
        BoundedLog log = new BoundedLog(output, clock);
        log.publish(info("E331 request failed: {\"request\":\"r-1\",\"code\":\"NO_TARGET\"}"));
        log.close();
        assertThat(lines().size(), is(1));
        assertThat(lines().get(0), containsString("\"event\":331"));
        assertThat(lines().get(0), containsString("\"data\":{\"request\":\"r-1\",\"code\":\"NO_TARGET\"}"));
    }

    @Test
    void linesPerEventAreRateLimitedAndOmissionsAreCounted() {
        Instant start = clock.instant();
        Instant[] now = {start};
        Clock adjustableClock = new Clock() {
            @Override
            public Instant instant() {
                return now[0];
            }

            @Override
            public java.time.ZoneId getZone() {
                return ZoneOffset.UTC;
            }

            @Override
            public Clock withZone(java.time.ZoneId zone) {
                return this;
            }
        };
        BoundedLog log = new BoundedLog(output, adjustableClock);
        for (int number = 0; number < 1000; number++) {
            log.publish(info("E330 request answered: " + number));
        }
        log.publish(info("E255 another event"));
        now[0] = start.plus(Duration.ofSeconds(1));
        log.publish(info("E330 request answered: last"));
        log.close();
        assertThat(lines().size(), is(BoundedLog.MAXIMUM_LINES_PER_SECOND + 3));
        assertThat(
                output.toString(StandardCharsets.UTF_8),
                containsString("\"omitted\":" + (1000 - BoundedLog.MAXIMUM_LINES_PER_SECOND)));
    }

    @Test
    void aBlockedOutputDoesNotBlockLoggingThreads() throws Exception {
        CountDownLatch release = new CountDownLatch(1);
        CountDownLatch writerBlocked = new CountDownLatch(1);
        OutputStream blockingOutput = new OutputStream() {
            @Override
            public void write(int value) {
                writerBlocked.countDown();
                try {
                    release.await();
                } catch (InterruptedException exception) {
                    Thread.currentThread().interrupt();
                }
            }
        };
        BoundedLog log = new BoundedLog(blockingOutput, clock);
        log.publish(info("E1 first"));
        writerBlocked.await();
        Runtime runtime = Runtime.getRuntime();
        long before = runtime.totalMemory() - runtime.freeMemory();
        for (int number = 0; number < 200_000; number++) {
            log.publish(info("E" + number % 500 + " many"));
        }
        long growth = runtime.totalMemory() - runtime.freeMemory() - before;
        assertThat(growth, lessThanOrEqualTo(400L * 1024 * 1024));
        release.countDown();
        log.close();
    }

    /** Guards against lines that are lost if the log is closed while its writer thread is writing earlier ones. */
    @Test
    void linesThatAreQueuedDuringAWriteAreWrittenWhenTheLogIsClosed() throws Exception {
        CountDownLatch writing = new CountDownLatch(1);
        OutputStream slowOutput = new OutputStream() {
            @Override
            public void write(int value) {
                output.write(value);
            }

            @Override
            public void write(byte[] bytes, int offset, int length) {
                output.write(bytes, offset, length);
                if (writing.getCount() > 0) {
                    writing.countDown();
                    awaitInterrupt();
                }
            }
        };
        BoundedLog log = new BoundedLog(slowOutput, clock);
        log.publish(info("E1 first"));
        writing.await();
        log.publish(info("E2 second"));
        log.close();
        assertThat(lines().size(), is(2));
    }

    /** Waits until the log interrupts its writer thread, which it does when it is closed. */
    private static void awaitInterrupt() {
        try {
            new CountDownLatch(1).await();
        } catch (InterruptedException closed) {
            // The log is being closed.
        }
    }
}
