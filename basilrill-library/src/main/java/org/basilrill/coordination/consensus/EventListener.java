package org.basilrill.coordination.consensus;

import org.basilrill.api.LogEvent;

/** Receives the noteworthy events of a replica, on the thread that drives it. */
@FunctionalInterface
public interface EventListener {
    /** Handles one event. */
    void event(LogEvent event, String detail);
}
