package org.basilrill.protocol.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.coordination.membership.RelayAccess;
import org.basilrill.coordination.path.RelaySelector;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.ForwardingListener;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * The relays of the other instances.
 *
 * @param self name of this instance, for the logs of the others
 * @param responseObserver receives the head of each response of a target, which may state something about the target
 * @param evacuated returns whether a target is in an evacuated data centre, so that no relay is given a request for it
 * @param coldTargets whether a target is known to be cold, so that a request to it has got a permit
 */
record Relays(
        RelaySelector selector,
        RelayClient client,
        InstanceId self,
        BiConsumer<TargetAnnouncement, ResponseHead> responseObserver,
        Predicate<TargetAnnouncement> evacuated,
        Predicate<TargetAnnouncement> coldTargets) {
    /** Instances that check one target; more are of no use if the target has crashed. */
    private static final int MAXIMUM_CHECKS = 2;

    /** Sends a request to a target by way of a member. */
    TargetConnector.Call open(
            Member member,
            TargetAnnouncement target,
            TargetConnector.Request request,
            boolean freshConnection,
            TargetConnector.Listener listener) {
        RelayAccess access = member.relay().orElseThrow();
        return client.open(
                access.address(),
                RelayMessages.carry(request, target, access, self, freshConnection, coldTargets.test(target)),
                freshConnection,
                new EvacuationCheck(target, listener));
    }

    /** Returns whether another instance reaches the target; empty if none can tell. */
    CompletableFuture<Optional<Boolean>> reach(TargetAnnouncement target) {
        return reach(target, new HashSet<>());
    }

    private CompletableFuture<Optional<Boolean>> reach(TargetAnnouncement target, Set<InstanceId> tried) {
        Optional<Member> relay = tried.size() < MAXIMUM_CHECKS ? selector.choose(tried) : Optional.empty();
        if (relay.isEmpty()) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
        tried.add(relay.get().id());
        RelayAccess access = relay.get().relay().orElseThrow();
        CheckListener listener = new CheckListener();
        client.open(access.address(), RelayMessages.check(target, access, self), false, listener);
        return listener.reached.thenCompose(
                result -> result.filter(reached -> reached).isPresent()
                        ? CompletableFuture.completedFuture(result)
                        : reach(target, tried).thenApply(next -> next.or(() -> result)));
    }

    /**
     * Checks immediately before the first byte that the target is not in an evacuated data centre; the relay may not
     * know it yet.
     */
    private final class EvacuationCheck extends ForwardingListener {
        private final TargetAnnouncement target;
        private volatile boolean refused;

        EvacuationCheck(TargetAnnouncement target, TargetConnector.Listener listener) {
            super(listener);
            this.target = target;
        }

        @Override
        public boolean maySend() {
            refused = evacuated.test(target);
            return !refused && super.maySend();
        }

        @Override
        public void failed(TargetConnector.Failure failure) {
            super.failed(
                    refused
                            ? new TargetConnector.Failure(
                                    TargetConnector.FailureKind.NOT_ACCEPTED,
                                    false,
                                    "the target is in an evacuated data centre")
                            : failure);
        }
    }

    /** Receives the result of a check. Thread safe. */
    private static final class CheckListener implements TargetConnector.Listener {
        private final CompletableFuture<Optional<Boolean>> reached = new CompletableFuture<>();

        @Override
        public boolean maySend() {
            return true;
        }

        @Override
        public void headReceived(ResponseHead head) {
            reached.complete(
                    switch (RelayMessages.result(head)) {
                        case REACHED -> Optional.of(true);
                        case UNREACHABLE -> Optional.of(false);
                        default -> Optional.empty();
                    });
        }

        @Override
        public void bodyReceived(byte[] bytes) {
            // The response to a check has no body.
        }

        @Override
        public void responseCompleted() {
            reached.complete(Optional.empty());
        }

        @Override
        public void failed(TargetConnector.Failure failure) {
            reached.complete(Optional.empty());
        }
    }
}
