package org.basilrill.state.target;

/**
 * An announcement with the time at which it expires. Immutable and thread safe.
 *
 * @param expiresNanos time on the monotonic clock
 * @param removalReported whether listeners were told that it expired
 */
record HeldAnnouncement(TargetAnnouncement announcement, long expiresNanos, boolean removalReported) {
    boolean isValidAt(long nowNanos) {
        return nowNanos - expiresNanos < 0;
    }

    HeldAnnouncement withRemovalReported() {
        return new HeldAnnouncement(announcement, expiresNanos, true);
    }
}
