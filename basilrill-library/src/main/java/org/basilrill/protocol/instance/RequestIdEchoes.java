package org.basilrill.protocol.instance;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Checks that an answer carries the id of its request. Common engines send no id back, so a missing one is accepted
 * from a target that never sent one since it started; after the first, a missing id is as wrong as another one.
 * Thread safe.
 */
final class RequestIdEchoes {
    /** Incarnation in which each target last sent an id back. */
    private final Map<TargetId, Long> echoing = new ConcurrentHashMap<>();

    /** Returns whether the answer may belong to the request. */
    boolean matches(TargetAnnouncement target, String requestId, Optional<String> answeredId) {
        if (answeredId.isEmpty()) {
            return echoing.getOrDefault(target.id(), -1L) != target.incarnation();
        }
        if (!answeredId.get().equals(requestId)) {
            return false;
        }
        echoing.put(target.id(), target.incarnation());
        return true;
    }
}
