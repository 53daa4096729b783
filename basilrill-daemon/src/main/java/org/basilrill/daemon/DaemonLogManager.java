package org.basilrill.daemon;

import java.util.logging.LogManager;

/**
 * A log manager that keeps its handlers open until the process exits. The default log manager of Java closes them in a
 * shutdown hook, as soon as the process receives SIGTERM, which loses the events of a graceful stop. Thread safe.
 */
public final class DaemonLogManager extends LogManager {
    @Override
    public void reset() {
        // Nothing is left to flush: the console handler writes unbuffered, and BoundedLog flushes each batch.
    }
}
