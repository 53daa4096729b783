package org.basilrill.transport.peer;

import java.util.List;
import org.basilrill.thrift.envelope.Envelope;

/** Receives what the messages to one instance show of the link to it. Called without the lock of the link. */
interface LinkObserver {
    /** Ignores everything. */
    LinkObserver NONE = new LinkObserver() {
        @Override
        public void delivered() {
            // Nothing depends on the link.
        }

        @Override
        public void failed(List<Envelope> undelivered) {
            // Nothing depends on the link.
        }
    };

    /** Reports that a batch was acknowledged. */
    void delivered();

    /**
     * Reports that the link could not deliver messages.
     *
     * @param undelivered the messages, which the link has dropped; the recipient may have received them
     */
    void failed(List<Envelope> undelivered);
}
