package org.basilrill.coordination.admission;

import java.util.LinkedHashSet;
import java.util.Set;

/**
 * Keeps a bounded number of the most recent request identifiers. Not thread safe; guarded by the lock of the
 * dispatcher.
 */
final class RecentRequests {
    private static final int MAX_REQUESTS = 1024;

    private final Set<String> requestIds = new LinkedHashSet<>();

    void add(String requestId) {
        requestIds.add(requestId);
        if (requestIds.size() > MAX_REQUESTS) {
            requestIds.remove(requestIds.iterator().next());
        }
    }

    boolean remove(String requestId) {
        return requestIds.remove(requestId);
    }
}
