package org.basilrill.coordination.admission;

import java.util.LinkedHashSet;
import java.util.Set;

/** Remembers a bounded number of request identifiers, the latest ones. Not thread safe; guarded by the dispatcher. */
final class RecentRequests {
    private static final int LIMIT = 1024;

    private final Set<String> identifiers = new LinkedHashSet<>();

    void add(String requestId) {
        identifiers.add(requestId);
        if (identifiers.size() > LIMIT) {
            identifiers.remove(identifiers.iterator().next());
        }
    }

    boolean remove(String requestId) {
        return identifiers.remove(requestId);
    }
}
