package org.basilrill.state.target;

import java.util.Collection;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;

/** Read access to the targets known to this instance. Implementations are thread safe; results are snapshots. */
public interface TargetDirectory {
    /** Returns every target whose announcement has not expired, including those that are leaving. */
    Collection<TargetAnnouncement> targets();

    /** Returns one target, if its announcement has not expired. */
    Optional<TargetAnnouncement> target(TargetId id);

    /** Returns the targets that are ready for the model and not leaving. */
    Collection<TargetAnnouncement> readyFor(ModelId model);

    /** Returns the targets of a plain service that are not leaving. */
    Collection<TargetAnnouncement> ofService(String service);
}
