package org.basilrill.coordination.routing;

import java.util.Map;
import java.util.TreeMap;

/**
 * The requests sent to one target whose answers have not begun, in the order of sending. They tell how long a target
 * keeps requests waiting before any of their answers does. Not thread safe; guarded by the state of the target.
 */
final class UnansweredRequests {
    private final TreeMap<Long, Long> sentNanos = new TreeMap<>();
    private long lastNumber;
    private long lastAnswered;

    /** Notes a request that is being sent; returns its number. */
    long sent(long nowNanos) {
        lastNumber++;
        sentNanos.put(lastNumber, nowNanos);
        return lastNumber;
    }

    /** Notes that the answer to a request has begun. */
    void answered(long number) {
        if (sentNanos.remove(number) != null) {
            lastAnswered = Math.max(lastAnswered, number);
        }
    }

    /** Notes that a request ended without an answer, which tells nothing of the others. */
    void ended(long number) {
        sentNanos.remove(number);
    }

    /**
     * Returns how long the request that is next to be answered has waited, in nanoseconds; 0 if none waits. Requests
     * sent before one that has been answered do not count: the target has passed over them or lost them.
     */
    long longestWaitNanos(long nowNanos) {
        Map.Entry<Long, Long> next = sentNanos.higherEntry(lastAnswered);
        return next == null ? 0 : nowNanos - next.getValue();
    }
}
