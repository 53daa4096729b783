package org.basilrill.coordination.routing;

import java.util.List;
import org.basilrill.api.TargetId;

/**
 * A change of the prefix cache of a target, as reported by the target. Events may be late or missing and serve as hints
 * only. Immutable and thread safe.
 *
 * @param incarnation incarnation of the target, as in its announcement
 * @param sequence increases by one with each event of an incarnation; starts at 1
 * @param stored prefix hashes now cached
 * @param evicted prefix hashes no longer cached
 */
public record CacheEvent(TargetId target, long incarnation, long sequence, List<Long> stored, List<Long> evicted) {
    public CacheEvent {
        stored = List.copyOf(stored);
        evicted = List.copyOf(evicted);
    }
}
