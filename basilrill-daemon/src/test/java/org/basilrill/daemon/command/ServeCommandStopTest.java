package org.basilrill.daemon.command;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;

import java.io.ByteArrayOutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Clock;
import java.util.concurrent.locks.LockSupport;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.basilrill.daemon.log.BoundedLog;
import org.junit.jupiter.api.Test;

/** Guards against a graceful stop whose last events are lost, because the process ends before they are written. */
class ServeCommandStopTest {
    private static final int WRITE_NANOS = 50_000_000;

    @Test
    void whatAStopLogsIsWrittenBeforeTheProcessEnds() {
        SlowOutput output = new SlowOutput();
        BoundedLog log = new BoundedLog(output, Clock.systemUTC());
        ServeCommand.stopAndCloseLog(() -> log.publish(new LogRecord(Level.INFO, "E102 instance stopped")), log)
                .run();
        assertThat(output.toString(StandardCharsets.UTF_8), containsString("instance stopped"));
    }

    /** An output that takes a while for each write. */
    private static final class SlowOutput extends ByteArrayOutputStream {
        @Override
        public void write(byte[] bytes) {
            LockSupport.parkNanos(WRITE_NANOS);
            super.writeBytes(bytes);
        }
    }
}
