package org.basilrill.protocol.target;

import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.routing.TargetRestrictions;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetNotices;

/**
 * Sends no request to a target that has stated that it wants none, and reads what targets state in their responses. The
 * check comes immediately before the first byte is sent, because a request may have been assigned to its target before
 * the statement. Covers all requests that leave this instance, also those that it carries for others. Immutable and
 * thread safe.
 *
 * @param notices reads the statements in a response
 */
public record RestrictedConnector(
        TargetConnector connector, TargetRestrictions restrictions, Function<ResponseHead, TargetNotices> notices)
        implements TargetConnector {
    @Override
    public Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
        return connector.open(target, request, freshConnection, new RestrictedListener(target, listener));
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
    private final class RestrictedListener implements Listener {
        private final TargetAnnouncement target;
        private final Listener listener;
        private volatile boolean restricted;

        RestrictedListener(TargetAnnouncement target, Listener listener) {
            this.target = target;
            this.listener = listener;
        }

        @Override
        public boolean maySend() {
            restricted = !restrictions.accepts(target);
            return !restricted && listener.maySend();
        }

        @Override
        public void headReceived(ResponseHead head) {
            restrictions.observe(target, notices.apply(head));
            listener.headReceived(head);
        }

        @Override
        public void bodyReceived(byte[] bytes) {
            listener.bodyReceived(bytes);
        }

        @Override
        public void responseCompleted() {
            listener.responseCompleted();
        }

        @Override
        public void failed(Failure failure) {
            listener.failed(
                    restricted
                            ? new Failure(FailureKind.NOT_ACCEPTED, false, "the target wants no request from here")
                            : failure);
        }

        @Override
        public void carriedBy(InstanceId relay) {
            listener.carriedBy(relay);
        }

        @Override
        public boolean abandonsLostPath() {
            return listener.abandonsLostPath();
        }
    }
}
