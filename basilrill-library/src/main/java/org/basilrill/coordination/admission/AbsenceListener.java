package org.basilrill.coordination.admission;

import org.basilrill.api.ModelId;
import org.basilrill.state.target.TargetAnnouncement;

/** Receives the targets that refused a request because its model is not resident, although they announced it. */
@FunctionalInterface
public interface AbsenceListener {
    /** Called after each such refusal, without a lock held. */
    void absent(TargetAnnouncement target, ModelId model);
}
