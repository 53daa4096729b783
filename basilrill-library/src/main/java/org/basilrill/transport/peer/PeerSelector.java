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
 * Opens connections to other instances and serves all of them on one selector thread. Thread safe.
 *
 * <p>The timeouts of the Thrift library are not used, because they depend on the wall clock, which may jump.
 */
final class PeerSelector implements AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final TAsyncClientManager manager;

    /**
     * Starts the selector thread.
     *
     * @throws BasilrillException with {@code INTERNAL} if no selector can be opened
     */
    PeerSelector() {
        try {
            manager = new TAsyncClientManager();
        } catch (IOException exception) {
            throw new BasilrillException(
                    ErrorCode.INTERNAL, "cannot open a selector for connections to other instances", exception);
        }
    }

    /** Starts to connect without waiting. A connection failure is reported with the first batch. */
    PeerConnection open(InstanceId recipient, InetSocketAddress address) {
        try {
            BoundedResponseSocket socket = new BoundedResponseSocket(address.getHostString(), address.getPort());
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
    private record AsyncConnection(InstanceId recipient, BoundedResponseSocket socket, PeerService.AsyncClient client)
            implements PeerConnection {
        @Override
        public void deliver(List<Envelope> batch, BatchCallback callback) {
            try {
                client.deliver(batch, new AsyncMethodCallback<>() {
                    @Override
                    public void onComplete(Void nothing) {
                        callback.completed(true);
                    }

                    @Override
                    public void onError(Exception exception) {
                        logFailure(recipient, exception);
                        callback.completed(false);
                    }
                });
            } catch (TException | IllegalStateException exception) {
                logFailure(recipient, exception);
                callback.completed(false);
            }
        }

        @Override
        public void close() {
            socket.close();
        }
    }
}
