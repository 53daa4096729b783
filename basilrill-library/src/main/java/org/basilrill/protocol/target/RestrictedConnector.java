package org.basilrill.protocol.target;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.limit.ColdTargets;
import org.basilrill.coordination.routing.TargetRestrictions;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.state.configuration.Residency;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Sends no request to a target that has stated that it wants none, that is in an evacuated data centre, whose data
 * centre the request does not allow, or that has become cold since the request got its slot, and reads what targets
 * state in their responses. The check comes immediately before the first byte is sent, because a request may have been
 * assigned to its target before the statement. Covers all requests that leave this instance, also those that it carries
 * for others. Immutable and thread safe.
 *
 * @param observer receives the head of each response, which may state something about the target
 */
public record RestrictedConnector(
        TargetConnector connector,
        TargetRestrictions restrictions,
        ColdTargets coldTargets,
        MonotonicClock clock,
        BiConsumer<TargetAnnouncement, ResponseHead> observer)
        implements TargetConnector {
    @Override
    public Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
        return connector.open(
                target, request, freshConnection, new RestrictedListener(target, request.residency(), listener));
    }

    @Override
    public CompletableFuture<Boolean> acceptsConnection(TargetAnnouncement target) {
        return connector.acceptsConnection(target);
    }

    @Override
    public void discardIdleConnections(TargetAnnouncement target) {
        connector.discardIdleConnections(target);
    }

    /** The events of one exchange. Thread safe, as its events come one at a time. */
    private final class RestrictedListener extends ForwardingListener {
        private final TargetAnnouncement target;
        private final Residency residency;
        private final boolean hasPermit;
        private final long openedNanos;
        private volatile boolean restricted;

        RestrictedListener(TargetAnnouncement target, Residency residency, Listener listener) {
            super(listener);
            this.target = target;
            this.residency = residency;
            this.hasPermit = coldTargets.isCold(target);
            this.openedNanos = clock.nanos();
        }

        private boolean isPermitted() {
            return coldTargets.maySend(target, hasPermit, Duration.ofNanos(clock.nanos() - openedNanos));
        }

        @Override
        public boolean maySend() {
            restricted = !residency.allows(target.dataCentre()) || !restrictions.accepts(target) || !isPermitted();
            return !restricted && super.maySend();
        }

        @Override
        public void headReceived(ResponseHead head) {
            observer.accept(target, head);
            super.headReceived(head);
        }

        @Override
        public void failed(Failure failure) {
            super.failed(restricted ? new Failure(FailureKind.NOT_ACCEPTED, false, reason()) : failure);
        }

        private String reason() {
            if (!residency.allows(target.dataCentre())) {
                return "the target is in no allowed region";
            }
            return restrictions.isEvacuated(target)
                    ? "the target is in an evacuated data centre"
                    : "the target wants no request from here";
        }
    }
}
