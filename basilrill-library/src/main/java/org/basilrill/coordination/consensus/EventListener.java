package org.basilrill.coordination.consensus;

import org.basilrill.api.LogEvent;

/** Receives the events that a replica logs. Called on the thread that drives the replica. */
@FunctionalInterface
public interface EventListener {
    /** Handles one event. */
    void event(LogEvent event, String detail);
}
