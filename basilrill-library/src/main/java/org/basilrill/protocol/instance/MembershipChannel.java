package org.basilrill.protocol.instance;

import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.BiConsumer;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.PeerSubject;
import org.basilrill.coordination.membership.GossipMessage;
import org.basilrill.protocol.peer.GossipCodec;

/** Sends messages of the membership, and encodes a message that goes to all members only once. Thread safe. */
final class MembershipChannel implements BiConsumer<InstanceId, GossipMessage> {
    private final PeerChannel channel;
    private final AtomicReference<Optional<Encoded>> last = new AtomicReference<>(Optional.empty());

    MembershipChannel(PeerChannel channel) {
        this.channel = channel;
    }

    @Override
    public void accept(InstanceId recipient, GossipMessage message) {
        Encoded encoded = last.get()
                .filter(known -> known.message() == message)
                .orElseGet(() -> new Encoded(message, GossipCodec.encode(message)));
        last.set(Optional.of(encoded));
        channel.send(recipient, PeerSubject.MEMBERSHIP, encoded.bytes());
    }

    /** A message and its encoding. */
    private record Encoded(GossipMessage message, byte[] bytes) {}
}
