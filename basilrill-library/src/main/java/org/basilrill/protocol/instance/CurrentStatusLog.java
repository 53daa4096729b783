package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;

/** Logs when an instance starts and stops refusing new requests because its rules are not confirmed. Thread safe. */
final class CurrentStatusLog {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final InstanceId self;
    private State lastState = State.NEVER_CURRENT;

    CurrentStatusLog(InstanceId self) {
        this.self = self;
    }

    /** Records the present status; an instance that was never current does not serve yet and logs nothing. */
    synchronized void observe(boolean current) {
        if (current && lastState == State.NO_LONGER_CURRENT) {
            LOGGER.atInfo().log("%s: %s", LogEvent.INSTANCE_CURRENT_AGAIN, self);
        }
        if (!current && lastState == State.CURRENT) {
            LOGGER.atWarning().log("%s: %s", LogEvent.INSTANCE_NOT_CURRENT, self);
        }
        if (current) {
            lastState = State.CURRENT;
        } else if (lastState == State.CURRENT) {
            lastState = State.NO_LONGER_CURRENT;
        }
    }

    /** Status after the last observation. */
    private enum State {
        NEVER_CURRENT,
        CURRENT,
        NO_LONGER_CURRENT
    }
}
