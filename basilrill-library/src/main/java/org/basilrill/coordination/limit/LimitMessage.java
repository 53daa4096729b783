package org.basilrill.coordination.limit;

import java.util.List;
import java.util.Optional;
import org.basilrill.state.target.RequestRate;

/** A message of the subject TARGET_LIMIT. Immutable and thread safe. */
public sealed interface LimitMessage {
    /**
     * Reports to the issuer what one instance needs and has observed.
     *
     * @param incarnation random number of the reporting process
     * @param sequence increases with each report of one incarnation
     */
    record PermitReport(long incarnation, long sequence, List<PermitDemand> demands, List<Observation> observations)
            implements LimitMessage {
        public PermitReport {
            demands = List.copyOf(demands);
            observations = List.copyOf(observations);
        }
    }

    /**
     * Issues permits to one instance and notifies it of limits.
     *
     * @param term term of the leadership of the issuer
     */
    record PermitIssue(long term, List<PermitGrant> grants, List<Observation> limits) implements LimitMessage {
        public PermitIssue {
            grants = List.copyOf(grants);
            limits = List.copyOf(limits);
        }
    }

    /**
     * The permits that one instance needs for one target.
     *
     * @param waiting queued requests without a permit; replaces the number of the previous report
     * @param wantsSpare whether one permit is also useful without a queued request
     * @param priority priority class of the most urgent queued request; lower is more urgent
     * @param waitedMillis time for which requests have been queued
     * @param limit the limit as known to the instance
     * @param lastGrant number of the last grant received; 0 if there was none
     * @param returnedPermits permits returned unused since the process started; a cumulative total, so that a repeated
     *     report returns nothing twice
     */
    record PermitDemand(
            int waiting,
            boolean wantsSpare,
            int priority,
            long waitedMillis,
            Observation limit,
            long lastGrant,
            long returnedPermits) {
        /** Returns the target that the permits are for. */
        public TargetKey target() {
            return limit.target();
        }
    }

    /**
     * Permits for one target.
     *
     * @param number number of the grant; increases with each grant of one term
     * @param permits requests that may be sent; 0 if the message only reports the wait
     * @param waitMillis time until the next permit of the recipient, by the rate and the demand served before it
     * @param intervalMillis time between later permits of the recipient
     * @param reportSequence sequence of the report that the grant responds to, which determines its expiry
     */
    record PermitGrant(
            TargetKey target, long number, int permits, long waitMillis, long intervalMillis, long reportSequence) {}

    /**
     * What is known about the limit of a target.
     *
     * @param rate the stated rate; empty if a response stated none, or if the limit has ended
     * @param ageMillis time since the response that stated it
     * @param coldRemainingMillis time until the target is warm, during which it accepts this rate; 0 if it is not cold
     */
    record Observation(TargetKey target, Optional<RequestRate> rate, long ageMillis, long coldRemainingMillis) {
        /** Creates an observation of a target that is not cold. */
        public Observation(TargetKey target, Optional<RequestRate> rate, long ageMillis) {
            this(target, rate, ageMillis, 0);
        }

        /** Returns whether this is the limit of a cold target. */
        public boolean isCold() {
            return coldRemainingMillis > 0 && rate.isPresent();
        }
    }
}
