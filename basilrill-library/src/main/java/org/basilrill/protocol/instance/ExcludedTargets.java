package org.basilrill.protocol.instance;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Supplier;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.Dispatcher;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.protocol.instance.TargetAttempt.AttemptFailure;

/** The targets that failed one request and are excluded from its further attempts. Not thread safe. */
final class ExcludedTargets {
    private final Dispatcher dispatcher;
    private final Supplier<Destination> destinations;
    private final Set<TargetId> excluded = new HashSet<>();

    /**
     * Creates an empty set.
     *
     * @param destinations returns the destination of the next attempt
     */
    ExcludedTargets(Dispatcher dispatcher, Supplier<Destination> destinations) {
        this.dispatcher = dispatcher;
        this.destinations = destinations;
    }

    /** Returns the targets that the request must not be sent to. */
    Set<TargetId> excluded() {
        return excluded;
    }

    /** Returns whether the request could be sent to a target other than this one and the excluded ones. */
    boolean hasOtherThan(TargetId target) {
        Set<TargetId> used = new HashSet<>(excluded);
        used.add(target);
        return dispatcher.hasOtherTarget(destinations.get(), used);
    }

    /**
     * Excludes the target of a failed attempt, with four exceptions. A target whose response was lost may be used
     * again if it is the only one, such as the only target with a copy of the model. A full target is skipped by the
     * dispatcher for a while anyway. A target without the adapter may be used again once the adapter is resident; the
     * dispatcher does not treat it as ready before that. A target to which no path was found has not failed.
     */
    void attemptFailed(TargetId target, AttemptFailure failure) {
        boolean lacksAdapter = failure.code() == ErrorCode.TARGET_MISDIRECTED
                && destinations.get().model().flatMap(ModelId::adapter).isPresent();
        boolean lostResponse = failure.code() == ErrorCode.TARGET_FAILED;
        boolean targetNotAtFault = failure.code() == ErrorCode.TARGET_FULL || failure.code() == ErrorCode.NO_PATH;
        if (lacksAdapter || targetNotAtFault || (lostResponse && !hasOtherThan(target))) {
            return;
        }
        excluded.add(target);
    }
}
