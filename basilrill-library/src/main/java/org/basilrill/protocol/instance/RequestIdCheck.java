package org.basilrill.protocol.instance;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Checks that a response carries the ID of its request. Common engines do not echo the ID, so a missing ID is accepted
 * from a target that has never sent one since it started; after the first one, a missing ID is rejected like a
 * different one. Thread safe.
 */
final class RequestIdCheck {
    /** Incarnation in which each target last echoed an ID. */
    private final Map<TargetId, Long> echoingIncarnations = new ConcurrentHashMap<>();

    /** Returns whether the response may belong to the request. */
    boolean matches(TargetAnnouncement target, String requestId, Optional<String> echoedId) {
        if (echoedId.isEmpty()) {
            return echoingIncarnations.getOrDefault(target.id(), -1L) != target.incarnation();
        }
        if (!echoedId.get().equals(requestId)) {
            return false;
        }
        echoingIncarnations.put(target.id(), target.incarnation());
        return true;
    }
}
