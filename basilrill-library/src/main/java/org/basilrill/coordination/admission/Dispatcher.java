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
import org.basilrill.coordination.routing.RequestProfile;
import org.basilrill.state.configuration.Residency;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.Load;
import org.basilrill.state.target.TargetDirectory;

/**
 * Queues requests fairly among client accounts and assigns each request a target with a free slot. Implementations are
 * thread safe.
 */
public interface Dispatcher {
    /**
     * Queues a request until a target has a free slot.
     *
     * @return the assignment; fails with {@code QUEUE_FULL}, {@code DEADLINE_UNREACHABLE}, {@code MODEL_NOT_READY} or
     *     {@code NO_TARGET}. Cancelling the future removes the request from the queue.
     */
    CompletableFuture<Assignment> dispatch(Request request);

    /** Returns whether the destination has a ready target other than the given ones. */
    default boolean hasOtherTarget(Destination destination, Set<TargetId> targets) {
        return true;
    }

    /** Returns the ready targets of the destination except the one with the fewest requests of those not excluded. */
    default Set<TargetId> allButLeastLoaded(Destination destination, Set<TargetId> excluded) {
        return Set.of();
    }

    /** The properties of a request that the dispatcher uses. */
    record Request(
            String requestId,
            Optional<AccountId> account,
            Destination destination,
            int priority,
            long tokens,
            long deadlineNanos,
            Set<TargetId> excludedTargets,
            Prompt prompt,
            RequestProfile profile) {
        public Request {
            excludedTargets = Set.copyOf(excludedTargets);
        }

        /**
         * Creates a request whose prompt is described by its prefixes only; the tokens are divided equally among them.
         */
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
                    Prompt.ofEqualParts(prefixHashes, tokens),
                    RequestProfile.unknown());
        }
    }

    /**
     * What a request is addressed to: a model, a plain service, or a model on the engines of one service.
     *
     * @param softwareVersion version of the targets that may serve it; empty if any may
     * @param residency data centres whose targets may serve it
     */
    record Destination(
            Optional<ModelId> model, Optional<String> service, Optional<String> softwareVersion, Residency residency) {
        /** Creates a destination that targets of any software version may serve. */
        public Destination(Optional<ModelId> model, Optional<String> service) {
            this(model, service, Optional.empty(), Residency.EVERYWHERE);
        }

        /** Returns the same destination, restricted to targets of a software version. */
        public Destination atVersion(String version) {
            return new Destination(model, service, Optional.of(version), residency);
        }

        /** Returns the same destination, restricted to targets in the allowed data centres. */
        public Destination within(Residency allowed) {
            return new Destination(model, service, softwareVersion, allowed);
        }

        /** Returns the destination of requests to a model. */
        public static Destination ofModel(ModelId model) {
            return new Destination(Optional.of(model), Optional.empty());
        }

        /** Returns the destination of requests to a model that only the engines of one service may serve. */
        public static Destination ofModelAt(String service, ModelId model) {
            return new Destination(Optional.of(model), Optional.of(service));
        }

        /** Returns the destination of requests to a plain service. */
        public static Destination ofService(String service) {
            return new Destination(Optional.empty(), Optional.of(service));
        }

        /** Returns the targets that currently serve this destination. */
        public Collection<TargetAnnouncement> readyTargets(TargetDirectory directory) {
            Collection<TargetAnnouncement> ready =
                    model.map(directory::readyFor).orElseGet(() -> directory.ofService(service.orElseThrow()));
            if (!isRestricted() && (model.isEmpty() || service.isEmpty())) {
                return ready;
            }
            return ready.stream().filter(this::isServedBy).toList();
        }

        /** Returns whether the target serves this destination. */
        public boolean isServedBy(TargetAnnouncement target) {
            return isOfService(target)
                    && isOfVersion(target)
                    && residency.allows(target.dataCentre())
                    && model.map(target::isReadyFor).orElse(true);
        }

        /** Returns whether the target may serve this destination, now or once it has loaded the model. */
        public boolean couldBeServedBy(TargetAnnouncement target) {
            boolean ofKind = model.isEmpty() || target.isEngine();
            return !target.leaving()
                    && isOfService(target)
                    && isOfVersion(target)
                    && ofKind
                    && residency.allows(target.dataCentre());
        }

        private boolean isOfService(TargetAnnouncement target) {
            return service.isEmpty() || target.service().equals(service);
        }

        private boolean isOfVersion(TargetAnnouncement target) {
            return softwareVersion.isEmpty()
                    || softwareVersion.get().equals(target.softwareVersion().orElse(""));
        }

        private boolean isRestricted() {
            return softwareVersion.isPresent() || residency.isRestricted();
        }
    }

    /** A slot at a target, reserved until it is released. Thread safe. */
    interface Assignment {
        /** Returns the target to use. */
        TargetAnnouncement target();

        /**
         * Records that the response of the target began, and the load reported with it. Only the first call has an
         * effect.
         *
         * @param load running and queued requests of the target, if the response reports them
         */
        default void responseStarted(Optional<Load> load) {}

        /** Records that the first part of the body of the response was received. Only the first call has an effect. */
        default void firstEventReceived() {}

        /** Releases the slot and records the result of the attempt. Only the first call has an effect. */
        void release(AttemptResult result);
    }

    /** Result of an attempt at a target. Failures count toward the ejection of the target. */
    enum AttemptResult {
        SUCCEEDED,
        FAILED,
        CANCELLED,
        /** No byte was received within the progress timeout; ejects the target at once. */
        TIMED_OUT,
        /**
         * The target refused the request because it is full, without running it. The request may be dispatched again.
         */
        REFUSED_FULL,
        /** The target refused the request because the model is not resident there, without running it. */
        REFUSED_ABSENT
    }
}
