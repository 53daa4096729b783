package org.basilrill.protocol.instance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.startsWith;

import java.util.ArrayList;
import java.util.List;
import java.util.logging.Handler;
import java.util.logging.LogRecord;
import java.util.logging.Logger;
import org.basilrill.api.InstanceId;
import org.junit.jupiter.api.Test;

/** Guards against an instance that refuses requests without a log line, or logs the refusal with every observation. */
class CurrentStatusLogTest {
    @Test
    void eachChangeIsLoggedOnceAndTheStartIsNot() {
        List<String> lines = new ArrayList<>();
        Logger logger = Logger.getLogger(CurrentStatusLog.class.getName());
        Handler handler = collector(lines);
        logger.addHandler(handler);
        try {
            CurrentStatusLog log = new CurrentStatusLog(new InstanceId("one"));
            for (boolean current : new boolean[] {false, false, true, true, false, false, true, false}) {
                log.observe(current);
            }
        } finally {
            logger.removeHandler(handler);
        }
        assertThat(lines, contains(startsWith("E104"), startsWith("E105"), startsWith("E104")));
    }

    private static Handler collector(List<String> lines) {
        return new Handler() {
            @Override
            public void publish(LogRecord record) {
                lines.add(record.getMessage());
            }

            @Override
            public void flush() {
                // Nothing is buffered.
            }

            @Override
            public void close() {
                // No resource is open.
            }
        };
    }
}
