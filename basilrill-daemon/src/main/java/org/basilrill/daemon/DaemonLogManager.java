package org.basilrill.daemon;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers until the daemon has stopped. The one of the platform closes them as soon as
 * the process is asked to end, which loses the events of a graceful shutdown. Thread safe.
 */
public final class DaemonLogManager extends LogManager {
    @Override
    public void reset() {
        // The handlers write unbuffered to the error stream, so nothing is lost when the process ends.
    }
}
