package org.basilrill.state.target;

import java.util.Optional;
import org.basilrill.api.TargetId;

/** Receives the announcements that targets send to this instance. Implementations are thread safe and never block. */
public interface AnnouncementReceiver {
    /** Handles one announcement, which may be older than the last one of the same target. */
    void receiveAnnouncement(TargetAnnouncement announcement);

    /**
     * Handles the message of a target that it is about to stop; the target gets no new requests from then on.
     *
     * @param incarnation the incarnation that stops, if the message states it; a later one goes on
     */
    void receiveDeregistration(TargetId target, Optional<Long> incarnation);
}
