package org.basilrill.coordination.routing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The requests sent to one target whose responses have not begun, in the order of sending. They show how long a target
 * delays requests before any of their responses begins. Not thread safe; guarded by the lock of the target state.
 */
final class PendingResponses {
    private final TreeMap<Long, Long> sentNanos = new TreeMap<>();
    private long lastNumber;
    private long lastResponded;

    /** Records a request that is being sent; returns its number. */
    long requestSent(long nowNanos) {
        lastNumber++;
        sentNanos.put(lastNumber, nowNanos);
        return lastNumber;
    }

    /** Records that the response to a request has begun. */
    void responseStarted(long number) {
        if (sentNanos.remove(number) != null) {
            lastResponded = Math.max(lastResponded, number);
        }
    }

    /** Removes a request that ended without a response, which says nothing about the other requests. */
    void requestEnded(long number) {
        sentNanos.remove(number);
    }

    /**
     * Returns how long the request whose response is expected next has waited, in nanoseconds; 0 if there is none.
     * Requests sent before one whose response has begun are ignored: the target has reordered or lost them.
     */
    long longestWaitNanos(long nowNanos) {
        Map.Entry<Long, Long> next = sentNanos.higherEntry(lastResponded);
        return next == null ? 0 : nowNanos - next.getValue();
    }
}
