package org.basilrill.coordination.limit;

import java.util.Map;
import java.util.Optional;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Permits to send requests to targets that state a request rate. A target that states none needs no permit.
 * Implementations are thread safe.
 */
public interface RequestPermits {
    /** Permits for targets none of which states a rate. */
    RequestPermits UNLIMITED = new RequestPermits() {};

    /** Records whether a response of the target stated a rate. */
    default void observe(TargetAnnouncement target, Optional<RequestRate> rate) {}

    /** Returns whether a request may be sent now; if not, a permit is requested in advance for a later request. */
    default boolean isAvailable(TargetAnnouncement target) {
        return true;
    }

    /** Takes a permit for one request; returns false if the target needs one and there is none. */
    default boolean acquire(TargetAnnouncement target) {
        return true;
    }

    /** Returns the permit of a request that was not sent. */
    default void release(TargetAnnouncement target) {}

    /** Returns the rate that the target accepts from all instances together; empty if it states none. */
    default Optional<RequestRate> rateOf(TargetAnnouncement target) {
        return Optional.empty();
    }

    /** Returns when this instance may send to the target; empty if the target states no rate. */
    default Optional<ExpectedPermits> expectedPermits(TargetAnnouncement target) {
        return Optional.empty();
    }

    /** Returns whether any target is known to state a rate. */
    default boolean hasLimits() {
        return false;
    }

    /** Replaces the queued requests for which permits are needed; targets that are not named need none. */
    default void updateDemand(Map<TargetKey, QueuedDemand> demand) {}

    /**
     * The permits that this instance expects for one target.
     *
     * @param nanosUntilNext estimated time until the next permit
     * @param nanosPerPermit estimated time between later permits; 0 if it is unknown
     */
    record ExpectedPermits(long nanosUntilNext, long nanosPerPermit) {}

    /**
     * The queued requests of this instance that could be sent to one target.
     *
     * @param requests number of requests, at least one
     * @param priority priority class of the most urgent one; lower is more urgent
     */
    record QueuedDemand(int requests, int priority) {
        /** Returns the demand of both together. */
        public QueuedDemand plus(QueuedDemand other) {
            return new QueuedDemand(requests + other.requests, Math.min(priority, other.priority));
        }
    }
}
