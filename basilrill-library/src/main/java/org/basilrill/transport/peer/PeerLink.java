package org.basilrill.transport.peer;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.function.Supplier;
import org.basilrill.api.MonotonicClock;
import org.basilrill.thrift.envelope.Envelope;

/**
 * Queues the messages to one other instance and sends them in batches, one at a time. The queue is bounded by count and
 * bytes; when it is full the oldest are dropped, as a newer message usually replaces an older one. Every batch is
 * answered by the receiver, so a connection that has gone silent is found within the answer timeout and replaced. Never
 * blocks. Thread safe; connections are called without the lock held.
 */
final class PeerLink {
    /** Above the longest stop of a healthy receiver; a silent connection costs at most this long. */
    static final Duration ANSWER_TIMEOUT = Duration.ofSeconds(1);
    /** Keeps an instance that is down from being dialled for every message. */
    static final Duration RECONNECT_DELAY = Duration.ofMillis(100);
    /** Without a limit, exchanges with random members leave a connection to every other instance open. */
    static final Duration IDLE_LIMIT = Duration.ofSeconds(5);

    private static final int MAXIMUM_QUEUED_MESSAGES = 1024;
    private static final int MAXIMUM_BATCH_MESSAGES = 64;
    /** With a dozen links to instances that do not answer, a queue of full messages must fit into a small heap. */
    private static final long MAXIMUM_QUEUED_BYTES = 2L << 20;
    /** Exceeded only by a single larger message. */
    private static final long MAXIMUM_BATCH_BYTES = 1L << 20;

    private final Supplier<PeerConnection> connections;
    private final MonotonicClock clock;
    private final PeerTraffic traffic;
    private final Deque<Envelope> queue = new ArrayDeque<>();
    private long queuedBytes;
    private boolean closed;
    private PeerConnection connection = PeerConnection.NONE;
    /** Number of the batch under way; an outcome of an earlier one has no effect. */
    private long batchNumber;

    private boolean underWay;
    private long sentNanos;
    private long retryAtNanos;

    /**
     * Creates a link without a connection.
     *
     * @param connections opens a connection to the recipient; {@link PeerConnection#NONE} if its address is not known
     */
    PeerLink(Supplier<PeerConnection> connections, MonotonicClock clock, PeerTraffic traffic) {
        this.connections = connections;
        this.clock = clock;
        this.traffic = traffic;
        this.retryAtNanos = clock.nanos();
    }

    /** Queues a message and sends it unless a batch is under way. */
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
        }
        sendNext();
    }

    /** Gives up the batch under way if its answer is overdue, and closes a connection that is not used. */
    void check() {
        PeerConnection unused;
        synchronized (this) {
            long age = clock.nanos() - sentNanos;
            boolean overdue = underWay && age > ANSWER_TIMEOUT.toNanos();
            boolean idle = !underWay && age > IDLE_LIMIT.toNanos();
            if (!overdue && !idle) {
                return;
            }
            unused = takeConnection();
            if (overdue) {
                endBatch();
                retryAtNanos = clock.nanos() + RECONNECT_DELAY.toNanos();
            }
        }
        unused.close();
        sendNext();
    }

    /** Drops all messages and the connection. */
    void close() {
        PeerConnection unused;
        synchronized (this) {
            closed = true;
            queue.clear();
            queuedBytes = 0;
            endBatch();
            unused = takeConnection();
        }
        unused.close();
    }

    private void sendNext() {
        List<Envelope> batch;
        PeerConnection used;
        long number;
        synchronized (this) {
            if (underWay || queue.isEmpty()) {
                return;
            }
            if (connection == PeerConnection.NONE) {
                connect();
            }
            if (connection == PeerConnection.NONE) {
                queue.clear();
                queuedBytes = 0;
                return;
            }
            batch = nextBatch();
            underWay = true;
            sentNanos = clock.nanos();
            number = batchNumber;
            used = connection;
        }
        used.deliver(batch, delivered -> ended(number, batch, delivered));
    }

    /** Called with the lock held; opening a connection does not block. */
    private void connect() {
        if (clock.nanos() - retryAtNanos >= 0) {
            connection = connections.get();
        }
    }

    private void ended(long number, List<Envelope> batch, boolean delivered) {
        PeerConnection unused = PeerConnection.NONE;
        synchronized (this) {
            if (number != batchNumber) {
                return;
            }
            endBatch();
            if (!delivered) {
                unused = takeConnection();
                retryAtNanos = clock.nanos() + RECONNECT_DELAY.toNanos();
            }
        }
        unused.close();
        if (delivered) {
            traffic.sent(batch);
        }
        sendNext();
    }

    private void endBatch() {
        underWay = false;
        batchNumber++;
    }

    private PeerConnection takeConnection() {
        PeerConnection taken = connection;
        connection = PeerConnection.NONE;
        return taken;
    }

    private List<Envelope> nextBatch() {
        List<Envelope> batch = new ArrayList<>();
        long bytes = 0;
        while (!queue.isEmpty() && batch.size() < MAXIMUM_BATCH_MESSAGES) {
            bytes += bytesOf(queue.getFirst());
            if (!batch.isEmpty() && bytes > MAXIMUM_BATCH_BYTES) {
                return batch;
            }
            batch.add(removeFirst());
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
}
