package org.basilrill.state.target;

import org.basilrill.api.TargetId;

/** Takes the announcements that targets send to this instance. Implementations are thread safe and never block. */
public interface AnnouncementReceiver {
    /** Takes one announcement, which may be older than the last one of the same target. */
    void announced(TargetAnnouncement announcement);

    /** Takes the message of a target that it is about to end; it gets no new work any more. */
    void left(TargetId target);
}
