package org.basilrill.transport.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import java.util.EnumMap;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import org.basilrill.api.PeerSubject;
import org.basilrill.thrift.envelope.Envelope;

/**
 * Counts the messages and bytes between instances by direction and subject. The bytes of a message are those of its
 * payload and its envelope. The frame of a batch and its acknowledgement are not included, but the number of batches
 * sent is counted. Thread safe.
 */
final class PeerTraffic {
    /**
     * Bytes of the field headers, the lengths (up to two bytes each) and the end marker of an envelope in the compact
     * protocol.
     */
    private static final int ENVELOPE_FIELD_BYTES = 11;

    private final Map<PeerSubject, Totals> sent = new EnumMap<>(PeerSubject.class);
    private final Map<PeerSubject, Totals> received = new EnumMap<>(PeerSubject.class);
    private final Counter sentBatches;

    PeerTraffic(MetricRegistry metrics) {
        for (PeerSubject subject : PeerSubject.values()) {
            sent.put(subject, totals(metrics, "sent", subject));
            received.put(subject, totals(metrics, "received", subject));
        }
        sentBatches = metrics.counter("peer.sent.batches");
    }

    /** Counts a batch that its recipient has acknowledged. */
    void sent(Iterable<Envelope> batch) {
        sentBatches.inc();
        batch.forEach(envelope -> count(sent, envelope));
    }

    /** Counts a message that has arrived. */
    void received(Envelope envelope) {
        count(received, envelope);
    }

    private static void count(Map<PeerSubject, Totals> direction, Envelope envelope) {
        subjectOf(envelope.getSubject()).map(direction::get).ifPresent(totals -> totals.add(envelope));
    }

    private static Optional<PeerSubject> subjectOf(short number) {
        return Stream.of(PeerSubject.values())
                .filter(subject -> subject.wireNumber() == number)
                .findFirst();
    }

    private static Totals totals(MetricRegistry metrics, String direction, PeerSubject subject) {
        String prefix = MetricRegistry.name("peer", direction, subject.name().toLowerCase(Locale.ROOT));
        return new Totals(
                metrics.counter(MetricRegistry.name(prefix, "messages")),
                metrics.counter(MetricRegistry.name(prefix, "bytes")));
    }

    /** The counters of one subject in one direction. */
    private record Totals(Counter messages, Counter bytes) {
        void add(Envelope envelope) {
            messages.inc();
            bytes.inc(envelope.bufferForPayload().remaining()
                    + envelope.getSender().length()
                    + envelope.getSenderAddress().length()
                    + ENVELOPE_FIELD_BYTES);
        }
    }
}
