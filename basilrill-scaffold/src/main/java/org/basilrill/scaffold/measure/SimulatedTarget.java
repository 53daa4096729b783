package org.basilrill.scaffold.measure;

import java.util.Optional;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.routing.CacheEvent;
import org.basilrill.scaffold.measure.Workload.Arrival;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.Load;

/** An engine on virtual time. */
interface SimulatedTarget {
    TargetId id();

    /** Returns the tokens of requests that fit into the memory. */
    default long memoryTokens() {
        return Long.MAX_VALUE;
    }

    /** Returns the next announcement. */
    TargetAnnouncement announcement();

    /** Returns the blocks added to and evicted from the prefix cache since the previous event. */
    CacheEvent cacheEvent();

    /**
     * Starts or queues a request; returns false if the engine is full.
     *
     * @param priority requests with a lower number are read first
     */
    boolean offer(Arrival arrival, int priority, Progress progress);

    /** Receives the progress of a request. */
    interface Progress {
        /** Reports the first event, with the load stated in the response if there is one. */
        void firstEvent(Optional<Load> load);

        /** Reports the end of the response, with the longest pause between two events. */
        void finished(long longestPauseNanos);
    }
}
