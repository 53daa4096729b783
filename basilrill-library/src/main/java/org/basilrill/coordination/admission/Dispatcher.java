package org.basilrill.coordination.admission;

import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.routing.Prompt;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.Load;
import org.basilrill.state.target.TargetDirectory;

/**
 * Queues requests fairly among client accounts and assigns each a target with a free slot. Implementations are thread
 * safe.
 */
public interface Dispatcher {
    /**
     * Waits for a target.
     *
     * @return the assignment; fails with {@code QUEUE_FULL}, {@code DEADLINE_UNREACHABLE}, {@code MODEL_NOT_READY} or
     *     {@code NO_TARGET}. Cancelling the future removes the request from the queue.
     */
    CompletableFuture<Assignment> dispatch(Request request);

    /** Returns whether the destination has a target besides these. */
    default boolean hasTargetBesides(Destination destination, Set<TargetId> targets) {
        return true;
    }

    /** What the dispatcher must know of a request. */
    record Request(
            String requestId,
            Optional<AccountId> account,
            Destination destination,
            int priority,
            long tokens,
            long deadlineNanos,
            Set<TargetId> excludedTargets,
            Prompt prompt) {
        public Request {
            excludedTargets = Set.copyOf(excludedTargets);
        }

        /** Creates a request of whose prompt only the prefixes are known. */
        public Request(
                String requestId,
                Optional<AccountId> account,
                Destination destination,
                int priority,
                long tokens,
                long deadlineNanos,
                Set<TargetId> excludedTargets,
                List<Long> prefixHashes) {
            this(
                    requestId,
                    account,
                    destination,
                    priority,
                    tokens,
                    deadlineNanos,
                    excludedTargets,
                    Prompt.ofEqualParts(prefixHashes, tokens));
        }
    }

    /** A model, a plain service, or a model at the engines of one service. */
    record Destination(Optional<ModelId> model, Optional<String> service) {
        /** Returns the destination of requests to a model. */
        public static Destination ofModel(ModelId model) {
            return new Destination(Optional.of(model), Optional.empty());
        }

        /** Returns the destination of requests to a model that only the engines of one service may serve. */
        public static Destination ofModelAt(String service, ModelId model) {
            return new Destination(Optional.of(model), Optional.of(service));
        }

        /** Returns the destination of calls to a plain service. */
        public static Destination ofService(String service) {
            return new Destination(Optional.empty(), Optional.of(service));
        }

        /** Returns the targets that serve this destination now. */
        public Collection<TargetAnnouncement> readyTargets(TargetDirectory directory) {
            if (model.isEmpty()) {
                return directory.ofService(service.orElseThrow());
            }
            Collection<TargetAnnouncement> ready = directory.readyFor(model.get());
            if (service.isEmpty()) {
                return ready;
            }
            return ready.stream()
                    .filter(target -> target.service().equals(service))
                    .toList();
        }

        /** Returns whether the target serves this destination. */
        public boolean isServedBy(TargetAnnouncement target) {
            boolean ofService = service.isEmpty() || target.service().equals(service);
            return ofService && model.map(target::isReadyFor).orElse(true);
        }
    }

    /** A slot at a target, held until it is released. Thread safe. */
    interface Assignment {
        /** Returns the target to use. */
        TargetAnnouncement target();

        /**
         * Notes that the target's answer began, and the load it told. Only the first call has an effect.
         *
         * @param load what the target runs and has waiting, if it says so
         */
        default void answered(Optional<Load> load) {}

        /** Gives the slot back and reports how the attempt went. Only the first call has an effect. */
        void release(AttemptResult result);
    }

    /** How an attempt at a target went; failures count toward the ejection of the target. */
    enum AttemptResult {
        SUCCEEDED,
        FAILED,
        CANCELLED,
        /** No byte came within the progress deadline; ejects the target at once. */
        TIMED_OUT,
        /** The target answered that it is full and ran nothing; the request may be dispatched again. */
        REFUSED_FULL,
        /** The target answered that it does not hold the model and ran nothing. */
        REFUSED_ABSENT
    }
}
