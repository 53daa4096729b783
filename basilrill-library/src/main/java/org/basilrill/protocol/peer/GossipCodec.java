package org.basilrill.protocol.peer;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.coordination.membership.GossipMessage;
import org.basilrill.coordination.membership.GossipMessage.DigestEntry;
import org.basilrill.coordination.membership.GossipMessage.OwnerDelta;
import org.basilrill.state.codec.ThriftCodec;
import org.basilrill.thrift.membership.Item;

/** Encodes and decodes the gossip messages of the membership protocol. Stateless and thread safe. */
public final class GossipCodec {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int REJECTION_LOG_SECONDS = 10;

    private GossipCodec() {}

    /** Encodes a message. */
    public static byte[] encode(GossipMessage message) {
        org.basilrill.thrift.membership.GossipMessage encoded = new org.basilrill.thrift.membership.GossipMessage();
        message.digest()
                .ifPresent(digest -> encoded.setDigest(
                        digest.stream().map(GossipCodec::encodeEntry).toList()));
        encoded.setDeltas(
                message.deltas().stream().map(GossipCodec::encodeDelta).toList());
        encoded.setQuestion(message.responseRequested());
        return ThriftCodec.encode(encoded);
    }

    /**
     * Decodes a message.
     *
     * @throws org.basilrill.api.BasilrillException with {@code MESSAGE_MALFORMED} or {@code INVALID_NAME}
     */
    public static GossipMessage decode(byte[] payload) {
        org.basilrill.thrift.membership.GossipMessage encoded =
                ThriftCodec.decode(org.basilrill.thrift.membership.GossipMessage::new, payload);
        Optional<List<DigestEntry>> digest = encoded.isSetDigest()
                ? Optional.of(encoded.getDigest().stream()
                        .map(GossipCodec::decodeEntry)
                        .toList())
                : Optional.empty();
        List<OwnerDelta> deltas =
                encoded.getDeltas().stream().map(GossipCodec::decodeDelta).toList();
        return new GossipMessage(digest, deltas, encoded.isQuestion());
    }

    private static org.basilrill.thrift.membership.DigestEntry encodeEntry(DigestEntry entry) {
        return new org.basilrill.thrift.membership.DigestEntry(
                entry.owner().value(), entry.incarnation(), entry.version());
    }

    private static DigestEntry decodeEntry(org.basilrill.thrift.membership.DigestEntry entry) {
        return new DigestEntry(new InstanceId(entry.getOwner()), entry.getIncarnation(), entry.getVersion());
    }

    private static org.basilrill.thrift.membership.OwnerDelta encodeDelta(OwnerDelta delta) {
        List<Item> items = delta.items().stream()
                .map(item -> new Item(item.fact().key(), item.version(), FactCodec.encode(item.fact())))
                .toList();
        return new org.basilrill.thrift.membership.OwnerDelta(
                delta.owner().value(),
                delta.incarnation(),
                delta.fromVersion(),
                delta.toVersion(),
                items,
                delta.ageMillis());
    }

    /**
     * Decodes an item; empty if its fact is not valid. Without this, one invalid fact would keep all facts of its owner
     * from being applied, as the owner sends them together again and again.
     */
    private static Optional<GossipMessage.Item> decodeItem(Item item) {
        try {
            return Optional.of(new GossipMessage.Item(item.getVersion(), FactCodec.decode(item.getPayload())));
        } catch (BasilrillException invalid) {
            LOGGER.atWarning().atMostEvery(REJECTION_LOG_SECONDS, TimeUnit.SECONDS).log(
                    "%s: fact %s, %s", LogEvent.MESSAGE_REJECTED, item.getKey(), invalid.getMessage());
            return Optional.empty();
        }
    }

    private static OwnerDelta decodeDelta(org.basilrill.thrift.membership.OwnerDelta delta) {
        List<GossipMessage.Item> items = delta.getItems().stream()
                .flatMap(item -> decodeItem(item).stream())
                .toList();
        return new OwnerDelta(
                new InstanceId(delta.getOwner()),
                delta.getIncarnation(),
                delta.getFromVersion(),
                delta.getToVersion(),
                items,
                delta.getAgeMillis());
    }
}
