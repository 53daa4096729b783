package org.basilrill.protocol.instance;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.PeerSubject;
import org.basilrill.coordination.membership.GossipMessage;
import org.basilrill.protocol.peer.GossipCodec;

/** Sends gossip messages, and encodes a message to several members only once. Thread safe. */
final class MembershipChannel implements BiConsumer<InstanceId, GossipMessage> {
    private final PeerChannel channel;
    private final AtomicReference<Optional<Encoded>> lastEncoded = new AtomicReference<>(Optional.empty());

    MembershipChannel(PeerChannel channel) {
        this.channel = channel;
    }

    @Override
    public void accept(InstanceId recipient, GossipMessage message) {
        Encoded encoded = lastEncoded
                .get()
                .filter(known -> known.message() == message)
                .orElseGet(() -> new Encoded(message, GossipCodec.encode(message)));
        lastEncoded.set(Optional.of(encoded));
        channel.send(recipient, PeerSubject.MEMBERSHIP, encoded.bytes());
    }

    /** A message and its encoding. */
    private record Encoded(GossipMessage message, byte[] bytes) {}
}
