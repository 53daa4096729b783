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
 * bytes. When it is full, the oldest messages are dropped, because a newer message usually supersedes an older one. The
 * receiver acknowledges every batch, so that an unresponsive connection is detected within the acknowledgement timeout
 * and replaced. Never blocks. Thread safe; connections are called without holding the lock.
 */
final class PeerLink {
    /**
     * Above the longest pause of a healthy receiver. An unresponsive connection delays messages by about this time at
     * most.
     */
    static final Duration ACKNOWLEDGEMENT_TIMEOUT = Duration.ofSeconds(1);
    /**
     * Delay before a new connection after a failure, so that an unreachable instance is not connected to for every
     * message.
     */
    static final Duration RECONNECT_DELAY = Duration.ofMillis(100);
    /**
     * Time after which an idle connection is closed. Without this limit, gossip with random members would leave a
     * connection to every other instance open.
     */
    static final Duration IDLE_LIMIT = Duration.ofSeconds(5);

    private static final int MAXIMUM_QUEUED_MESSAGES = 1024;
    private static final int MAXIMUM_BATCH_MESSAGES = 64;
    /** A dozen full queues to unresponsive instances must fit into a small heap. */
    private static final long MAXIMUM_QUEUED_BYTES = 2L << 20;
    /** Exceeded only by a single larger message. */
    private static final long MAXIMUM_BATCH_BYTES = 1L << 20;

    private final Supplier<PeerConnection> connections;
    private final MonotonicClock clock;
    private final PeerTraffic traffic;
    private final LinkObserver observer;
    private final Deque<Envelope> queue = new ArrayDeque<>();
    private long queuedBytes;
    private boolean closed;
    private PeerConnection connection = PeerConnection.NONE;
    /** Number of the batch in flight. Callbacks of earlier batches are ignored. */
    private long batchNumber;

    private boolean batchInFlight;
    private List<Envelope> batchSent = List.of();
    private long sentNanos;
    private long retryAtNanos;

    /**
     * Creates a link without a connection.
     *
     * @param connections opens a connection to the recipient; {@link PeerConnection#NONE} if its address is not known
     * @param observer receives what the messages show of the link
     */
    PeerLink(Supplier<PeerConnection> connections, MonotonicClock clock, PeerTraffic traffic, LinkObserver observer) {
        this.observer = observer;
        this.connections = connections;
        this.clock = clock;
        this.traffic = traffic;
        this.retryAtNanos = clock.nanos();
    }

    /** Queues a message and sends it unless a batch is in flight. */
    void send(Envelope envelope) {
        synchronized (this) {
            if (closed) {
                return;
            }
            queue.addLast(envelope);
            queuedBytes += bytesOf(envelope);
            while (queue.size() > 1 && exceedsLimits()) {
                removeFirst();
            }
        }
        sendNext();
    }

    /**
     * Abandons the batch in flight and closes its connection if the acknowledgement is overdue. Also closes an idle
     * connection.
     */
    void checkTimeouts() {
        PeerConnection detached;
        List<Envelope> undelivered = List.of();
        synchronized (this) {
            long age = clock.nanos() - sentNanos;
            boolean overdue = batchInFlight && age > ACKNOWLEDGEMENT_TIMEOUT.toNanos();
            boolean idle = !batchInFlight && age > IDLE_LIMIT.toNanos();
            if (!overdue && !idle) {
                return;
            }
            detached = detachConnection();
            if (overdue) {
                undelivered = batchSent;
                endBatch();
                retryAtNanos = clock.nanos() + RECONNECT_DELAY.toNanos();
            }
        }
        detached.close();
        if (!undelivered.isEmpty()) {
            observer.failed(undelivered);
        }
        sendNext();
    }

    /** Drops all queued messages and closes the connection. */
    void close() {
        PeerConnection detached;
        synchronized (this) {
            closed = true;
            queue.clear();
            queuedBytes = 0;
            endBatch();
            detached = detachConnection();
        }
        detached.close();
    }

    private void sendNext() {
        List<Envelope> batch;
        PeerConnection used;
        long number;
        List<Envelope> undelivered = List.of();
        synchronized (this) {
            if (batchInFlight || queue.isEmpty()) {
                return;
            }
            if (connection == PeerConnection.NONE) {
                connect();
            }
            if (connection == PeerConnection.NONE) {
                undelivered = List.copyOf(queue);
                queue.clear();
                queuedBytes = 0;
            }
            batch = nextBatch();
            batchSent = batch;
            batchInFlight = !batch.isEmpty();
            sentNanos = batch.isEmpty() ? sentNanos : clock.nanos();
            number = batchNumber;
            used = connection;
        }
        if (batch.isEmpty()) {
            observer.failed(undelivered);
        } else {
            used.deliver(batch, delivered -> batchCompleted(number, batch, delivered));
        }
    }

    /**
     * Opens a connection unless the reconnect delay has not elapsed. Called while holding the lock; opening a
     * connection does not block.
     */
    private void connect() {
        if (clock.nanos() - retryAtNanos >= 0) {
            connection = connections.get();
        }
    }

    private void batchCompleted(long number, List<Envelope> batch, boolean delivered) {
        PeerConnection detached = PeerConnection.NONE;
        synchronized (this) {
            if (number != batchNumber) {
                return;
            }
            endBatch();
            if (!delivered) {
                detached = detachConnection();
                retryAtNanos = clock.nanos() + RECONNECT_DELAY.toNanos();
            }
        }
        detached.close();
        if (delivered) {
            traffic.sent(batch);
            observer.delivered();
        } else {
            observer.failed(batch);
        }
        sendNext();
    }

    private void endBatch() {
        batchInFlight = false;
        batchSent = List.of();
        batchNumber++;
    }

    private PeerConnection detachConnection() {
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

    private boolean exceedsLimits() {
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
