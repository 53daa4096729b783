package org.basilrill.transport.peer;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.stream.Stream;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.PeerSubject;
import org.basilrill.thrift.envelope.Envelope;
import org.basilrill.thrift.envelope.PeerService;

/**
 * Passes received messages to the handler of their subject. Handlers run on the given executor, so that the
 * acknowledgement of a batch, without which the sender closes the connection, does not wait for them. Thread safe.
 */
final class PeerDispatcher implements PeerService.Iface {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Map<PeerSubject, PeerHandler> handlers;
    private final Executor executor;
    private final BiConsumer<InstanceId, String> addressListener;
    private final Predicate<Envelope> isForSelf;
    private final PeerTraffic traffic;
    private final MessageCompression compression;

    /**
     * Creates a dispatcher.
     *
     * @param addressListener receives the address that each sender states for itself
     * @param isForSelf returns whether a message is for this instance; others are not handled
     */
    PeerDispatcher(
            Map<PeerSubject, PeerHandler> handlers,
            Executor executor,
            BiConsumer<InstanceId, String> addressListener,
            Predicate<Envelope> isForSelf,
            PeerTraffic traffic,
            MessageCompression compression) {
        this.isForSelf = isForSelf;
        this.handlers = new EnumMap<>(handlers);
        this.executor = executor;
        this.addressListener = addressListener;
        this.traffic = traffic;
        this.compression = compression;
    }

    @Override
    public void deliver(List<Envelope> envelopes) {
        for (Envelope envelope : envelopes) {
            traffic.received(envelope);
            if (isForSelf.test(envelope)) {
                handlerOf(envelope.getSubject()).ifPresent(handler -> submit(handler, envelope));
            }
        }
    }

    private void submit(PeerHandler handler, Envelope envelope) {
        try {
            executor.execute(() -> handle(handler, envelope));
        } catch (RejectedExecutionException exception) {
            LOGGER.atFine().log("message dropped after shutdown");
        }
    }

    private void handle(PeerHandler handler, Envelope envelope) {
        String sender = envelope.getSender();
        try {
            InstanceId id = new InstanceId(sender);
            addressListener.accept(id, envelope.getSenderAddress());
            compression.observe(id, envelope);
            handler.received(id, compression.payload(envelope));
        } catch (BasilrillException exception) {
            LOGGER.atWarning().log("%s: sender %s, %s", LogEvent.MESSAGE_REJECTED, sender, exception.getMessage());
        } catch (RuntimeException exception) {
            LOGGER.atSevere().withCause(exception).log("%s: message from %s", LogEvent.INTERNAL_FAILURE, sender);
        }
    }

    private Optional<PeerHandler> handlerOf(short subjectNumber) {
        return Stream.of(PeerSubject.values())
                .filter(subject -> subject.wireNumber() == subjectNumber)
                .findFirst()
                .map(handlers::get);
    }
}
