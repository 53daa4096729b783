package org.basilrill.protocol.target;

import org.basilrill.api.InstanceId;
import org.basilrill.protocol.caller.ResponseHead;

/** Passes all events of a call on to another listener; subclasses override what they change. As thread safe as it. */
public abstract class ForwardingListener implements TargetConnector.Listener {
    private final TargetConnector.Listener listener;

    protected ForwardingListener(TargetConnector.Listener listener) {
        this.listener = listener;
    }

    @Override
    public boolean maySend() {
        return listener.maySend();
    }

    @Override
    public void headReceived(ResponseHead head) {
        listener.headReceived(head);
    }

    @Override
    public void bodyReceived(byte[] bytes) {
        listener.bodyReceived(bytes);
    }

    @Override
    public void responseCompleted() {
        listener.responseCompleted();
    }

    @Override
    public void failed(TargetConnector.Failure failure) {
        listener.failed(failure);
    }

    @Override
    public void carriedBy(InstanceId relay) {
        listener.carriedBy(relay);
    }

    @Override
    public boolean abandonsLostPath() {
        return listener.abandonsLostPath();
    }
}
