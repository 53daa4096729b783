package org.basilrill.protocol.relay;

import java.util.Optional;
import org.basilrill.protocol.target.TargetConnector;

/**
 * A call that is attached after events of it may have arrived. Thread safe: guarded by its own lock; the call is used
 * without it.
 */
final class PendingCall implements TargetConnector.Call {
    private Optional<TargetConnector.Call> attached = Optional.empty();
    private int extension;
    private boolean cancelled;

    /** Attaches a call and applies what was requested before. */
    void attach(TargetConnector.Call call) {
        int bytes;
        boolean cancel;
        synchronized (this) {
            attached = Optional.of(call);
            bytes = extension;
            extension = 0;
            cancel = cancelled;
        }
        if (bytes > 0) {
            call.extendWindow(bytes);
        }
        if (cancel) {
            call.cancel();
        }
    }

    /** Returns whether the call was cancelled. */
    synchronized boolean isCancelled() {
        return cancelled;
    }

    @Override
    public void extendWindow(int bytes) {
        Optional<TargetConnector.Call> call;
        synchronized (this) {
            call = attached;
            if (call.isEmpty()) {
                extension += bytes;
            }
        }
        call.ifPresent(open -> open.extendWindow(bytes));
    }

    @Override
    public void cancel() {
        Optional<TargetConnector.Call> call;
        synchronized (this) {
            cancelled = true;
            call = attached;
        }
        call.ifPresent(TargetConnector.Call::cancel);
    }
}
