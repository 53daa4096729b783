package org.basilrill.transport.peer;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.async.AsyncMethodCallback;
import org.apache.thrift.async.TAsyncClientManager;
import org.apache.thrift.protocol.TCompactProtocol;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.thrift.envelope.Envelope;
import org.basilrill.thrift.envelope.PeerService;

/**
 * Opens connections to other instances and carries all of them on one thread, however many there are. Thread safe.
 *
 * <p>The timeouts of the library are not used: they follow the time of day, which may jump.
 */
final class PeerSelector implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final TAsyncClientManager manager;

    /**
     * Starts the thread.
     *
     * @throws BasilrillException with {@code INTERNAL} if the system gives no selector
     */
    PeerSelector() {
        try {
            manager = new TAsyncClientManager();
        } catch (IOException exception) {
            throw new BasilrillException(
                    ErrorCode.INTERNAL, "no selector for connections to other instances", exception);
        }
    }

    /** Begins to connect; a failure shows with the first batch. */
    PeerConnection open(InstanceId recipient, InetSocketAddress address) {
        try {
            AnswerSocket socket = new AnswerSocket(address.getHostString(), address.getPort());
            return new AsyncConnection(
                    recipient, socket, new PeerService.AsyncClient(new TCompactProtocol.Factory(), manager, socket));
        } catch (IOException | TException exception) {
            logFailure(recipient, exception);
            return PeerConnection.NONE;
        }
    }

    @Override
    public void close() {
        manager.stop();
    }

    private static void logFailure(InstanceId recipient, Exception failure) {
        LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                "%s: recipient %s, %s", LogEvent.PEER_CONNECTION_FAILED, recipient, failure.getMessage());
    }

    /** A connection of this selector. Thread safe. */
    private record AsyncConnection(InstanceId recipient, AnswerSocket socket, PeerService.AsyncClient client)
            implements PeerConnection {
        @Override
        public void deliver(List<Envelope> batch, Outcome outcome) {
            try {
                client.deliver(batch, new AsyncMethodCallback<>() {
                    @Override
                    public void onComplete(Void nothing) {
                        outcome.ended(true);
                    }

                    @Override
                    public void onError(Exception exception) {
                        logFailure(recipient, exception);
                        outcome.ended(false);
                    }
                });
            } catch (TException | IllegalStateException exception) {
                logFailure(recipient, exception);
                outcome.ended(false);
            }
        }

        @Override
        public void close() {
            socket.close();
        }
    }
}
