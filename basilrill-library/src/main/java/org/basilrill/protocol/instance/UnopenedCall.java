package org.basilrill.protocol.instance;

import org.basilrill.protocol.target.TargetConnector;

/** Placeholder until the connector has returned the call. Stateless and thread safe. */
final class UnopenedCall implements TargetConnector.Call {
    @Override
    public void extendWindow(int bytes) {
        throw new IllegalStateException("the call is not open");
    }

    @Override
    public void cancel() {
        // No call was opened.
    }
}
