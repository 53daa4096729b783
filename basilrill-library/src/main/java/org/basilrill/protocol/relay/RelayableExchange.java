package org.basilrill.protocol.relay;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.atomic.AtomicBoolean;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.ForwardingListener;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.protocol.target.TargetConnector.Failure;
import org.basilrill.protocol.target.TargetConnector.FailureKind;
import org.basilrill.protocol.target.TargetConnector.Listener;
import org.basilrill.protocol.target.TargetConnector.Request;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * One exchange with a target, over this instance's own path or carried by another instance. The way is chosen again
 * only while nothing was sent to the target; once bytes may have been sent, the loss of the way ends the exchange.
 * Thread safe: the ways are tried one after the other, and each delivers its events one at a time.
 */
final class RelayableExchange implements TargetConnector.Call {
    /** Relays that report that the target accepts no connection; it has crashed then. */
    private static final int MAXIMUM_UNREACHED = 2;
    /** Relays that are tried in all; several may have ended or may have lost their own paths. */
    private static final int MAXIMUM_RELAYS = 5;

    private final Relays relays;
    private final TargetAnnouncement target;
    private final Request request;
    private final boolean freshConnection;
    private final Listener listener;
    private final Set<InstanceId> triedRelays = new HashSet<>();
    private final AtomicBoolean permitted = new AtomicBoolean();
    /** Relays that reported that the target accepts no connection. */
    private int unreached;

    /** Releases the relay of the present way. */
    private volatile Runnable relayRelease = () -> {};

    private volatile boolean cancelled;
    private volatile PendingCall way = new PendingCall();

    RelayableExchange(
            Relays relays, TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
        this.relays = relays;
        this.target = target;
        this.request = request;
        this.freshConnection = freshConnection;
        this.listener = listener;
    }

    /** Starts the exchange over this instance's own path. */
    void openDirectly(TargetConnector direct) {
        open(pending -> pending.attach(direct.open(target, request, freshConnection, new DirectWay())));
    }

    /** Starts the exchange at a relay; returns false if no instance can carry it. */
    boolean openAtRelay() {
        Optional<Member> relay = triedRelays.size() < MAXIMUM_RELAYS && unreached < MAXIMUM_UNREACHED
                ? relays.selector().choose(triedRelays, request.residency())
                : Optional.empty();
        relay.ifPresent(chosen -> {
            triedRelays.add(chosen.id());
            relays.selector().started(chosen.id());
            RelayWay relayWay = new RelayWay(chosen.id());
            relayRelease = relayWay::end;
            open(pending -> pending.attach(relays.open(chosen, target, request, freshConnection, relayWay)));
        });
        return relay.isPresent();
    }

    @Override
    public void extendWindow(int bytes) {
        way.extendWindow(bytes);
    }

    @Override
    public void cancel() {
        cancelled = true;
        way.cancel();
        relayRelease.run();
    }

    /** Each way has its own call, as events of the next way may arrive before the call of the last one is attached. */
    private void open(WayOpener opener) {
        PendingCall next = new PendingCall();
        way = next;
        opener.open(next);
        if (cancelled) {
            next.cancel();
            relayRelease.run();
        }
    }

    private void notSent(Failure failure) {
        if (!cancelled && !openAtRelay()) {
            listener.failed(failure);
        }
    }

    private void notSentByRelay(InstanceId relay, Failure failure) {
        if (failure.kind() == FailureKind.UNREACHABLE) {
            unreached++;
        } else {
            relays.selector().failed(relay);
        }
        notSent(failure);
    }

    /** Obtains the permission to send once for all ways, as nothing was sent on the ways before. */
    private boolean maySend() {
        return !cancelled && (permitted.get() || listener.maySend() && permitted.compareAndSet(false, true));
    }

    /** Opens one way and attaches its call. */
    @FunctionalInterface
    private interface WayOpener {
        void open(PendingCall pending);
    }

    /** The events of an exchange over this instance's own path. */
    private final class DirectWay extends ForwardingListener {
        DirectWay() {
            super(listener);
        }

        @Override
        public boolean maySend() {
            return RelayableExchange.this.maySend();
        }

        @Override
        public void failed(Failure failure) {
            if (failure.kind() == FailureKind.UNREACHABLE) {
                notSent(failure);
            } else {
                super.failed(failure);
            }
        }
    }

    /** The events of an exchange that another instance carries. */
    private final class RelayWay implements Listener {
        private final InstanceId relay;
        private final AtomicBoolean ended = new AtomicBoolean();
        private Optional<Failure> failure = Optional.empty();

        RelayWay(InstanceId relay) {
            this.relay = relay;
        }

        @Override
        public boolean maySend() {
            return RelayableExchange.this.maySend();
        }

        @Override
        public void headReceived(ResponseHead head) {
            RelayResult result = RelayMessages.result(head);
            if (result == RelayResult.RESPONSE) {
                ResponseHead targetHead = RelayMessages.targetHead(head);
                relays.responseObserver().accept(target, targetHead);
                listener.carriedBy(relay);
                listener.headReceived(targetHead);
            } else {
                failure = Optional.of(result.failure(RelayMessages.detail(head) + " at relay " + relay));
            }
        }

        @Override
        public void bodyReceived(byte[] bytes) {
            if (failure.isEmpty()) {
                listener.bodyReceived(bytes);
            }
        }

        @Override
        public void responseCompleted() {
            end();
            if (failure.isEmpty()) {
                listener.responseCompleted();
            } else if (isNotSent(failure.get())) {
                notSentByRelay(relay, failure.get());
            } else {
                listener.failed(failure.get());
            }
        }

        @Override
        public void failed(Failure lost) {
            end();
            if (lost.kind() == FailureKind.NOT_ACCEPTED) {
                listener.failed(lost);
            } else if (lost.kind() == FailureKind.UNREACHABLE) {
                notSentByRelay(relay, new Failure(FailureKind.NO_PATH, false, lost.detail() + " at relay " + relay));
            } else {
                relays.selector().failed(relay);
                listener.failed(new Failure(
                        FailureKind.PATH_LOST, lost.reusedConnection(), lost.detail() + " at relay " + relay));
            }
        }

        private boolean isNotSent(Failure stated) {
            return stated.kind() == FailureKind.UNREACHABLE || stated.kind() == FailureKind.NO_PATH;
        }

        /** Called more than once if a final event and the cancellation cross. */
        private void end() {
            if (ended.compareAndSet(false, true)) {
                relays.selector().ended(relay);
            }
        }
    }
}
