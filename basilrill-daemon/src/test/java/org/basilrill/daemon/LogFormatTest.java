package org.basilrill.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.ZoneOffset;
import java.time.ZonedDateTime;
import org.basilrill.api.LogEvent;
import org.junit.jupiter.api.Test;

/** Guards against events that span two lines, because tools read the log line by line. */
class LogFormatTest {
    @Test
    void eachEventIsOneLineWithTimeLevelAndNumber() {
        ZonedDateTime time = ZonedDateTime.of(2026, 1, 2, 3, 4, 5, 6_000_000, ZoneOffset.UTC);
        String line = String.format(
                Main.LOG_FORMAT, time, "source", "logger", "INFO", LogEvent.INSTANCE_STARTED + ": entry-1", "");
        assertThat(
                line, is("2026-01-02T03:04:05.006+0000 INFO E100 instance started: entry-1" + System.lineSeparator()));
    }
}
