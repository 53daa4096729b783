package org.basilrill.coordination.path;

import java.time.Duration;
import java.util.Collection;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/** The exchanges that run over this instance's own paths. Implementations are thread safe and never block. */
public interface DirectExchanges {
    /** Returns the targets with an exchange that has been waiting for bytes of the target for at least this long. */
    Collection<TargetId> waitingFor(Duration silence);

    /**
     * Reports that the path to a target is lost, and again at each check while it stays lost.
     *
     * @param unresponsive whether connections over the path hang; otherwise open ones may still work
     */
    void pathLost(TargetAnnouncement target, boolean unresponsive);
}
