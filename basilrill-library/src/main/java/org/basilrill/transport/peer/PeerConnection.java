package org.basilrill.transport.peer;

import java.util.List;
import org.basilrill.thrift.envelope.Envelope;

/** An open or opening connection to another instance. Implementations are thread safe and never block. */
interface PeerConnection extends AutoCloseable {
    /** No connection: every batch is lost. */
    PeerConnection NONE = new PeerConnection() {
        @Override
        public void deliver(List<Envelope> batch, Outcome outcome) {
            outcome.ended(false);
        }

        @Override
        public void close() {
            // There is nothing to close.
        }
    };

    /** Sends a batch; the one before must have ended. The outcome may come on any thread, or never after a close. */
    void deliver(List<Envelope> batch, Outcome outcome);

    @Override
    void close();

    /** Is told how a batch ended. */
    @FunctionalInterface
    interface Outcome {
        /** Takes whether the receiver has confirmed the batch; if not, the connection is of no more use. */
        void ended(boolean delivered);
    }
}
