package org.basilrill.state.target;

/**
 * A registered announcement with the time at which it expires. Immutable and thread safe.
 *
 * @param expiresNanos time on the monotonic clock
 * @param removalReported whether listeners were notified of its removal
 */
record RegisteredAnnouncement(TargetAnnouncement announcement, long expiresNanos, boolean removalReported) {
    boolean isValidAt(long nowNanos) {
        return nowNanos - expiresNanos < 0;
    }

    RegisteredAnnouncement withRemovalReported() {
        return new RegisteredAnnouncement(announcement, expiresNanos, true);
    }
}
