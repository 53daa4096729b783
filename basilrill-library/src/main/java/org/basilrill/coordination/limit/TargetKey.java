package org.basilrill.coordination.limit;

import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/** One incarnation of a target; a limit ends with the incarnation that stated it. Immutable and thread safe. */
public record TargetKey(TargetId target, long incarnation) {
    /** Returns the key of the announced incarnation. */
    public static TargetKey of(TargetAnnouncement target) {
        return new TargetKey(target.id(), target.incarnation());
    }
}
