package org.basilrill.transport.peer;

import com.codahale.metrics.Counter;
import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.UnaryOperator;
import java.util.stream.Stream;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.PeerSubject;
import org.basilrill.coordination.membership.PeerForwarding;
import org.basilrill.coordination.membership.PeerForwarding.Route;
import org.basilrill.thrift.envelope.Envelope;

/**
 * Sends messages by way of other instances where their links are down, and passes on those of others. A message that
 * was passed on once is never passed on again. Without {@link #use} all messages are sent directly. Thread safe.
 */
final class EnvelopeForwarder {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int LOG_SECONDS = 10;

    private final InstanceId self;
    private final BiConsumer<InstanceId, Envelope> links;
    private final Counter sentByOthers;
    private final Counter passedOn;
    private final Counter dropped;
    private volatile Optional<PeerForwarding> forwarding = Optional.empty();

    /**
     * Creates a forwarder.
     *
     * @param links queues a message on the link to an instance
     */
    EnvelopeForwarder(InstanceId self, BiConsumer<InstanceId, Envelope> links, MetricRegistry metrics) {
        this.self = self;
        this.links = links;
        sentByOthers = metrics.counter("peer.forwarding.sent_by_others");
        passedOn = metrics.counter("peer.forwarding.passed_on");
        dropped = metrics.counter("peer.forwarding.dropped");
    }

    /** Forwards messages from now on. */
    void use(PeerForwarding decisions) {
        forwarding = Optional.of(decisions);
    }

    /** Sends a message of this instance. */
    void send(InstanceId recipient, PeerSubject subject, Envelope envelope) {
        Optional<PeerForwarding> decisions = forwarding;
        if (decisions.isEmpty()) {
            links.accept(recipient, envelope);
            return;
        }
        Route route = decisions.get().route(recipient, subject, sizeOf(envelope));
        route.forwarder().ifPresent(forwarder -> sendBy(forwarder, recipient, envelope));
        if (route.direct()) {
            links.accept(recipient, envelope);
        }
    }

    /** Returns whether a received message is for this instance; otherwise passes it on, or drops it. */
    boolean isForSelf(Envelope envelope) {
        try {
            if (envelope.isSetForwarder()) {
                InstanceId origin = new InstanceId(envelope.getSender());
                forwarding.ifPresent(decisions -> decisions.receivedByForwarder(origin));
            }
            if (!envelope.isSetRecipient() || envelope.getRecipient().equals(self.value())) {
                return true;
            }
            passOn(new InstanceId(envelope.getRecipient()), envelope);
        } catch (BasilrillException invalid) {
            LOGGER.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                    "%s: %s", LogEvent.MESSAGE_REJECTED, invalid.getMessage());
        }
        return false;
    }

    /**
     * Returns the observer of the link to an instance.
     *
     * @param asSubmitted returns a message in the form in which it was given to the link
     */
    LinkObserver observerOf(InstanceId recipient, UnaryOperator<Envelope> asSubmitted) {
        return new LinkObserver() {
            @Override
            public void delivered() {
                forwarding.ifPresent(decisions -> decisions.delivered(recipient));
            }

            @Override
            public void failed(List<Envelope> undelivered) {
                forwarding.ifPresent(decisions -> {
                    decisions.failed(recipient);
                    undelivered.forEach(envelope -> sendAgain(decisions, recipient, asSubmitted.apply(envelope)));
                });
            }
        };
    }

    private void sendAgain(PeerForwarding decisions, InstanceId recipient, Envelope envelope) {
        if (envelope.isSetRecipient() || envelope.isSetForwarder()) {
            dropped.inc();
            return;
        }
        subjectOf(envelope)
                .flatMap(subject -> decisions.forwarderOfUndelivered(recipient, subject, sizeOf(envelope)))
                .ifPresent(forwarder -> sendBy(forwarder, recipient, envelope));
    }

    private void sendBy(InstanceId forwarder, InstanceId recipient, Envelope envelope) {
        sentByOthers.inc();
        links.accept(forwarder, new Envelope(envelope).setRecipient(recipient.value()));
    }

    private void passOn(InstanceId recipient, Envelope envelope) {
        boolean accepted = !envelope.isSetForwarder()
                && forwarding
                        .filter(decisions -> subjectOf(envelope)
                                .filter(subject -> decisions.passesOn(recipient, subject, sizeOf(envelope)))
                                .isPresent())
                        .isPresent();
        if (!accepted) {
            dropped.inc();
            return;
        }
        passedOn.inc();
        Envelope passed = new Envelope(envelope).setForwarder(self.value());
        passed.unsetRecipient();
        links.accept(recipient, passed);
    }

    private static Optional<PeerSubject> subjectOf(Envelope envelope) {
        return Stream.of(PeerSubject.values())
                .filter(subject -> subject.wireNumber() == envelope.getSubject())
                .findFirst();
    }

    private static int sizeOf(Envelope envelope) {
        return envelope.bufferForPayload().remaining();
    }
}
