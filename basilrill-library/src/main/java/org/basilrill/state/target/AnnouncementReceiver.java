package org.basilrill.state.target;

/** Takes the announcements that targets send to this instance. Implementations are thread safe and never block. */
@FunctionalInterface
public interface AnnouncementReceiver {
    /** Takes one announcement, which may be older than the last one of the same target. */
    void announced(TargetAnnouncement announcement);
}
