package org.basilrill.transport.peer;

import java.util.List;
import org.basilrill.thrift.envelope.Envelope;

/**
 * A connection to another instance, established or being established. Implementations are thread safe and never block.
 */
interface PeerConnection extends AutoCloseable {
    /** Stands for a missing connection. Every batch fails. */
    PeerConnection NONE = new PeerConnection() {
        @Override
        public void deliver(List<Envelope> batch, BatchCallback callback) {
            callback.completed(false);
        }

        @Override
        public void close() {
            // Nothing to close.
        }
    };

    /**
     * Sends a batch. The previous batch must have completed. The callback may run on any thread, and may never run
     * after {@link #close}.
     */
    void deliver(List<Envelope> batch, BatchCallback callback);

    @Override
    void close();

    /** Receives the result of sending a batch. */
    @FunctionalInterface
    interface BatchCallback {
        /**
         * Called when the batch has completed. If the receiver has not acknowledged it, the connection must not be used
         * again.
         */
        void completed(boolean delivered);
    }
}
