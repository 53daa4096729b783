package org.basilrill.state.target;

/**
 * A registered announcement with the time at which it expires, which a renewal extends. The announcement never changes.
 * Thread safe; the registry and its index share one object, so that a renewal changes neither.
 */
final class RegisteredAnnouncement {
    private final TargetAnnouncement announcement;
    private final boolean removalReported;
    private volatile long expiresNanos;

    /**
     * Creates a registered announcement.
     *
     * @param expiresNanos time on the monotonic clock
     * @param removalReported whether listeners were notified of its removal
     */
    RegisteredAnnouncement(TargetAnnouncement announcement, long expiresNanos, boolean removalReported) {
        this.announcement = announcement;
        this.expiresNanos = expiresNanos;
        this.removalReported = removalReported;
    }

    TargetAnnouncement announcement() {
        return announcement;
    }

    long expiresNanos() {
        return expiresNanos;
    }

    boolean removalReported() {
        return removalReported;
    }

    boolean isValidAt(long nowNanos) {
        return nowNanos - expiresNanos < 0;
    }

    /** Extends the validity; called while holding the lock of the shard. Always returns true. */
    boolean renew(long newExpiresNanos) {
        expiresNanos = newExpiresNanos;
        return true;
    }

    RegisteredAnnouncement withRemovalReported() {
        return new RegisteredAnnouncement(announcement, expiresNanos, true);
    }
}
