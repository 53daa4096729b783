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

/** Guards against an instance that refuses work without a trace of it in the log, or floods the log with it. */
class CurrencyLogTest {
    @Test
    void eachLossAndReturnIsLoggedOnceAndTheStartIsNot() {
        List<String> lines = new ArrayList<>();
        Logger logger = Logger.getLogger(CurrencyLog.class.getName());
        Handler handler = collector(lines);
        logger.addHandler(handler);
        try {
            CurrencyLog log = new CurrencyLog(new InstanceId("one"));
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
                // Nothing is held back.
            }

            @Override
            public void close() {
                // Nothing is open.
            }
        };
    }
}
