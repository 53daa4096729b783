package org.basilrill.transport.http;

import java.util.Comparator;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.MessageConstraintException;

/**
 * Limits the bytes of responses that all exchanges of a client hold in memory together: heads and trailers that have
 * not ended, and bodies that the caller has not read. Above the limit the exchange that holds most is aborted. Thread
 * safe.
 */
final class ResponseMemory {
    /**
     * Limits the bytes that one exchange may read without delivering any, which are those of a head, a trailer or chunk
     * sizes. Four times the largest head that callers may send.
     */
    private static final int MAXIMUM_UNDELIVERED_BYTES = 64 * 1024;
    /** Share of the heap. A byte of a head or trailer takes two bytes or more there. */
    private static final long HEAP_SHARE = 16;

    private final long limitBytes;
    private final AtomicLong heldBytes = new AtomicLong();
    private final Set<Holder> holders = ConcurrentHashMap.newKeySet();

    ResponseMemory(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /** Returns a limit for the heap of this process. */
    static ResponseMemory forHeap() {
        return new ResponseMemory(Runtime.getRuntime().maxMemory() / HEAP_SHARE);
    }

    /**
     * Starts to count the bytes of an exchange.
     *
     * @param abort ends the exchange; called at most once, by any thread
     */
    Holder open(Runnable abort) {
        Holder holder = new Holder(abort);
        holders.add(holder);
        return holder;
    }

    /** Returns the bytes held by all exchanges. */
    long heldBytes() {
        return heldBytes.get();
    }

    private void abortLargest() {
        Optional<Holder> largest = holders.stream().max(Comparator.comparingLong(Holder::heldBytes));
        // Its bytes stop counting at once, so that no other exchange is aborted while its connection closes.
        largest.filter(Holder::close).ifPresent(holder -> holder.abort.run());
    }

    /** The bytes of one exchange. Thread safe. */
    final class Holder {
        private final Runnable abort;
        private long retained;
        private long undelivered;
        private long unread;
        private boolean closed;

        private Holder(Runnable abort) {
            this.abort = abort;
        }

        /**
         * Counts bytes that were read from the connection and not delivered yet.
         *
         * @throws MessageConstraintException if the exchange has read too many bytes without delivering any
         */
        void read(int bytes) throws MessageConstraintException {
            if (change(bytes, 0) > MAXIMUM_UNDELIVERED_BYTES) {
                throw new MessageConstraintException(
                        "more than " + MAXIMUM_UNDELIVERED_BYTES + " bytes of a head or trailer, or of chunk sizes");
            }
        }

        /** Counts what was read so far as a head that is kept until the exchange ends. */
        synchronized void retain() {
            retained += undelivered;
            undelivered = 0;
        }

        /** Counts bytes of a body that wait for the caller. What was read before is no longer needed. */
        void delivered(int bytes) {
            change(-undelivered(), bytes);
        }

        /** Counts bytes of a body that the caller has read. */
        void consumed(int bytes) {
            change(0, -bytes);
        }

        /** Stops counting; returns whether it was counting. Safe to call more than once. */
        synchronized boolean close() {
            if (closed) {
                return false;
            }
            closed = true;
            holders.remove(this);
            ResponseMemory.this.heldBytes.addAndGet(-heldBytes());
            return true;
        }

        /** Changes both counts and aborts the largest exchange if necessary; returns the undelivered bytes. */
        private long change(long undeliveredBytes, long unreadBytes) {
            boolean exceeded;
            long result;
            synchronized (this) {
                if (closed) {
                    return 0;
                }
                undelivered += undeliveredBytes;
                unread += unreadBytes;
                result = undelivered;
                long added = undeliveredBytes + unreadBytes;
                exceeded = ResponseMemory.this.heldBytes.addAndGet(added) > limitBytes && added > 0;
            }
            if (exceeded) {
                abortLargest();
            }
            return result;
        }

        private synchronized long undelivered() {
            return undelivered;
        }

        private synchronized long heldBytes() {
            return retained + undelivered + unread;
        }
    }
}
