package org.basilrill.protocol.instance;

import java.util.HashSet;
import java.util.Set;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.Dispatcher;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.protocol.instance.TargetAttempt.AttemptFailure;

/** The targets that failed one request and do not get it again. Not thread safe. */
final class UsedTargets {
    private final Dispatcher dispatcher;
    private final Destination destination;
    private final Set<TargetId> excluded = new HashSet<>();

    UsedTargets(Dispatcher dispatcher, Destination destination) {
        this.dispatcher = dispatcher;
        this.destination = destination;
    }

    /** Returns the targets that must not get the request. */
    Set<TargetId> excluded() {
        return excluded;
    }

    /** Returns whether the request could go to a target besides this one and those that failed. */
    boolean hasOthersThan(TargetId target) {
        Set<TargetId> used = new HashSet<>(excluded);
        used.add(target);
        return dispatcher.hasTargetBesides(destination, used);
    }

    /**
     * Notes that an attempt failed. A target that lost an answer may get the request again if it is the only one, as
     * the only holder of a model is; one that is full excludes itself for a while; one that lacks an adapter may get it
     * again, and is not ready for the request until then.
     */
    void failed(TargetId target, AttemptFailure failure) {
        boolean lacksAdapter = failure.code() == ErrorCode.TARGET_MISDIRECTED
                && destination.model().flatMap(ModelId::adapter).isPresent();
        boolean lostAnswer = failure.code() == ErrorCode.TARGET_FAILED;
        if (lacksAdapter || failure.code() == ErrorCode.TARGET_FULL || (lostAnswer && !hasOthersThan(target))) {
            return;
        }
        excluded.add(target);
    }
}
