package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;

/** Logs when an instance begins and ends to refuse new work because its rules are not confirmed. Thread safe. */
final class CurrencyLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final InstanceId self;
    private State last = State.NEVER_CURRENT;

    CurrencyLog(InstanceId self) {
        this.self = self;
    }

    /** Notes the present state; an instance that was never current has not begun to serve and logs nothing. */
    synchronized void observe(boolean current) {
        if (current && last == State.LOST) {
            LOGGER.atInfo().log("%s: %s", LogEvent.INSTANCE_CURRENT_AGAIN, self);
        }
        if (!current && last == State.CURRENT) {
            LOGGER.atWarning().log("%s: %s", LogEvent.INSTANCE_NOT_CURRENT, self);
        }
        if (current) {
            last = State.CURRENT;
        } else if (last == State.CURRENT) {
            last = State.LOST;
        }
    }

    /** What was observed so far. */
    private enum State {
        NEVER_CURRENT,
        CURRENT,
        LOST
    }
}
