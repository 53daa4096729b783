package org.basilrill.scaffold.virtual;

import java.util.Optional;
import java.util.function.Function;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerSubject;
import org.basilrill.coordination.membership.PeerForwarding;
import org.basilrill.coordination.membership.PeerForwarding.Route;

/**
 * Sends and receives the messages of one process over the simulated network, some by way of other instances as the
 * transport does. Not thread safe.
 */
final class VirtualPeer {
    private final InstanceId self;
    private final VirtualNetwork network;
    private final Function<InstanceId, Optional<VirtualPeer>> running;
    private final Receiver receiver;
    private Optional<PeerForwarding> forwarding = Optional.empty();
    private long passedOn;

    /**
     * Creates a peer that sends all messages directly.
     *
     * @param running returns the peer of an instance if its process is running
     */
    VirtualPeer(
            InstanceId self,
            VirtualNetwork network,
            Function<InstanceId, Optional<VirtualPeer>> running,
            Receiver receiver) {
        this.self = self;
        this.network = network;
        this.running = running;
        this.receiver = receiver;
    }

    /** Receives the messages for the process. */
    @FunctionalInterface
    interface Receiver {
        void receive(InstanceId sender, PeerSubject subject, byte[] payload);
    }

    /**
     * A message on its way.
     *
     * @param recipient instance that the receiver passes the message on to
     */
    private record Message(
            InstanceId origin,
            Optional<InstanceId> recipient,
            Optional<InstanceId> forwarder,
            PeerSubject subject,
            byte[] payload) {}

    /** Forwards messages from now on. */
    void forwardBy(PeerForwarding decisions) {
        forwarding = Optional.of(decisions);
    }

    /** Returns the number of messages that this process has passed on. */
    long passedOn() {
        return passedOn;
    }

    void send(InstanceId recipient, PeerSubject subject, byte[] payload) {
        Message message = new Message(self, Optional.empty(), Optional.empty(), subject, payload);
        if (forwarding.isEmpty()) {
            transmit(recipient, message);
            return;
        }
        Route route = forwarding.get().route(recipient, subject, payload.length);
        route.forwarder().ifPresent(forwarder -> sendBy(forwarder, recipient, message));
        if (route.direct()) {
            transmit(recipient, message);
        }
    }

    private void sendBy(InstanceId forwarder, InstanceId recipient, Message message) {
        transmit(
                forwarder,
                new Message(self, Optional.of(recipient), Optional.empty(), message.subject(), message.payload()));
    }

    private void transmit(InstanceId next, Message message) {
        network.send(
                self,
                next,
                message.payload().length,
                () -> arrivedAt(next, message),
                () -> notDelivered(next, message));
    }

    private void arrivedAt(InstanceId next, Message message) {
        Optional<VirtualPeer> peer = running.apply(next);
        peer.ifPresent(receiving -> receiving.received(message));
        if (peer.isPresent()) {
            forwarding.ifPresent(decisions -> decisions.delivered(next));
        } else {
            notDelivered(next, message);
        }
    }

    private void notDelivered(InstanceId next, Message message) {
        forwarding.ifPresent(decisions -> {
            decisions.failed(next);
            if (message.recipient().isEmpty() && message.forwarder().isEmpty()) {
                decisions
                        .forwarderOfUndelivered(next, message.subject(), message.payload().length)
                        .ifPresent(forwarder -> sendBy(forwarder, next, message));
            }
        });
    }

    private void received(Message message) {
        message.forwarder()
                .flatMap(forwarder -> forwarding)
                .ifPresent(decisions -> decisions.receivedByForwarder(message.origin()));
        if (message.recipient().isEmpty()) {
            receiver.receive(message.origin(), message.subject(), message.payload());
            return;
        }
        InstanceId recipient = message.recipient().get();
        int bytes = message.payload().length;
        if (forwarding
                .filter(decisions -> decisions.passesOn(recipient, message.subject(), bytes))
                .isPresent()) {
            passedOn++;
            transmit(
                    recipient,
                    new Message(
                            message.origin(),
                            Optional.empty(),
                            Optional.of(self),
                            message.subject(),
                            message.payload()));
        }
    }
}
