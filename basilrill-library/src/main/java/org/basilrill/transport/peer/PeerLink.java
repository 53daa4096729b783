package org.basilrill.transport.peer;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransport;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.thrift.envelope.Envelope;
import org.basilrill.thrift.envelope.PeerService;

/**
 * Sends messages to one other instance over one connection. Messages wait in a queue bounded by count and bytes; when
 * it is full the oldest are dropped, as a newer message usually replaces an older one. Every batch is answered by the
 * receiver, so a connection that has gone silent is found within the answer timeout and replaced. Thread safe.
 */
final class PeerLink {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final int MAXIMUM_QUEUED_MESSAGES = 1024;
    private static final int MAXIMUM_BATCH_MESSAGES = 64;
    /** With a dozen links to instances that do not answer, a queue of full messages must fit into a small heap. */
    private static final long MAXIMUM_QUEUED_BYTES = 2L << 20;
    /** Exceeded only by a single larger message. */
    private static final long MAXIMUM_BATCH_BYTES = 1L << 20;

    private static final int CONNECT_TIMEOUT_MILLIS = 500;
    /** Above the longest stop of a healthy receiver; a silent connection costs at most this long. */
    private static final int ANSWER_TIMEOUT_MILLIS = 1000;
    /** An answer holds nothing or a short error; longer lengths in it are damage. */
    private static final int MAXIMUM_ANSWER_BYTES = 64 * 1024;
    /** Keeps an instance that is down from being dialled for every message. */
    private static final long RECONNECT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final InstanceId recipient;
    private final Supplier<Optional<InetSocketAddress>> address;
    private final Executor executor;
    private final PeerTraffic traffic;
    private final Deque<Envelope> queue = new ArrayDeque<>();
    private long queuedBytes;
    private boolean draining;
    private boolean closed;

    /** Only the draining task uses the fields below; one task runs at a time. */
    private TTransport connection;

    private PeerService.Client client;
    private long retryAtNanos = System.nanoTime();

    PeerLink(
            InstanceId recipient,
            Supplier<Optional<InetSocketAddress>> address,
            Executor executor,
            PeerTraffic traffic) {
        this.recipient = recipient;
        this.address = address;
        this.executor = executor;
        this.traffic = traffic;
    }

    void send(Envelope envelope) {
        synchronized (this) {
            if (closed) {
                return;
            }
            queue.addLast(envelope);
            queuedBytes += bytesOf(envelope);
            while (queue.size() > 1 && isTooLong()) {
                removeFirst();
            }
            if (draining) {
                return;
            }
            draining = true;
        }
        try {
            executor.execute(this::drain);
        } catch (RejectedExecutionException exception) {
            LOGGER.atFine().log("message dropped after shutdown");
        }
    }

    synchronized void close() {
        closed = true;
        queue.clear();
        queuedBytes = 0;
        if (!draining) {
            disconnect();
        }
    }

    private void drain() {
        List<Envelope> batch = nextBatch();
        while (!batch.isEmpty()) {
            deliver(batch);
            batch = nextBatch();
        }
    }

    /** Returns the messages to send next; when there are none, the draining task ends. */
    private synchronized List<Envelope> nextBatch() {
        List<Envelope> batch = new ArrayList<>();
        long bytes = 0;
        while (!queue.isEmpty() && batch.size() < MAXIMUM_BATCH_MESSAGES) {
            bytes += bytesOf(queue.getFirst());
            if (!batch.isEmpty() && bytes > MAXIMUM_BATCH_BYTES) {
                return batch;
            }
            batch.add(removeFirst());
        }
        if (batch.isEmpty()) {
            draining = false;
            if (closed) {
                disconnect();
            }
        }
        return batch;
    }

    private boolean isTooLong() {
        return queue.size() > MAXIMUM_QUEUED_MESSAGES || queuedBytes > MAXIMUM_QUEUED_BYTES;
    }

    private Envelope removeFirst() {
        Envelope first = queue.removeFirst();
        queuedBytes -= bytesOf(first);
        return first;
    }

    private static int bytesOf(Envelope envelope) {
        return envelope.bufferForPayload().remaining();
    }

    private void deliver(List<Envelope> batch) {
        if (client == null && System.nanoTime() - retryAtNanos < 0) {
            return;
        }
        try {
            if (client == null && !connect()) {
                return;
            }
            client.deliver(batch);
            traffic.sent(batch);
        } catch (TException exception) {
            LOGGER.atInfo().atMostEvery(10, TimeUnit.SECONDS).log(
                    "%s: recipient %s, %s", LogEvent.PEER_CONNECTION_FAILED, recipient, exception.getMessage());
            disconnect();
            retryAtNanos = System.nanoTime() + RECONNECT_DELAY_NANOS;
        }
    }

    private boolean connect() throws TException {
        Optional<InetSocketAddress> current = address.get();
        if (current.isEmpty()) {
            return false;
        }
        TSocket socket = new TSocket(
                null,
                current.get().getHostString(),
                current.get().getPort(),
                ANSWER_TIMEOUT_MILLIS,
                CONNECT_TIMEOUT_MILLIS);
        connection = new TFramedTransport(socket, MAXIMUM_ANSWER_BYTES);
        connection.open();
        client = new PeerService.Client(new TCompactProtocol(connection, MAXIMUM_ANSWER_BYTES, MAXIMUM_ANSWER_BYTES));
        return true;
    }

    private void disconnect() {
        if (connection != null) {
            connection.close();
        }
        connection = null;
        client = null;
    }
}
