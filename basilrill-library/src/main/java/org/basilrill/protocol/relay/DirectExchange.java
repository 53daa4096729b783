package org.basilrill.protocol.relay;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicBoolean;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.path.TargetPaths;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * One exchange over this instance's own path to a target. Passes all events on, and reports what they show of the path.
 * Delivers no event after its final one. Thread safe.
 */
final class DirectExchange implements TargetConnector.Call, TargetConnector.Listener {
    /** An exchange that received bytes more recently than this is left alone when its path is lost. */
    private static final Duration ABANDONED_AFTER = Duration.ofSeconds(1);

    private final TargetAnnouncement target;
    private final TargetConnector.Listener listener;
    private final TargetPaths paths;
    private final DirectExchangeRegistry registry;
    private final MonotonicClock clock;
    private final PendingCall call = new PendingCall();
    private final AtomicBoolean finished = new AtomicBoolean();
    private final long startNanos;
    private volatile long lastProgressNanos;
    /** Time of the first bytes; written once by the connector, which reports one event at a time. */
    private long receivingSinceNanos;

    DirectExchange(
            TargetAnnouncement target,
            TargetConnector.Listener listener,
            TargetPaths paths,
            DirectExchangeRegistry registry,
            MonotonicClock clock) {
        this.target = target;
        this.listener = listener;
        this.paths = paths;
        this.registry = registry;
        this.clock = clock;
        startNanos = clock.nanos();
        lastProgressNanos = startNanos;
        registry.add(this);
    }

    TargetAnnouncement target() {
        return target;
    }

    boolean isWaitingFor(Duration silence) {
        return clock.nanos() - lastProgressNanos >= silence.toNanos();
    }

    /** Attaches the call to the target. */
    void attach(TargetConnector.Call opened) {
        call.attach(opened);
    }

    /** Ends the exchange if it waits for bytes that cannot arrive and its request may be sent again. */
    void pathLost() {
        if (!isWaitingFor(ABANDONED_AFTER) || !listener.abandonsLostPath() || !finish()) {
            return;
        }
        call.cancel();
        listener.failed(new TargetConnector.Failure(
                TargetConnector.FailureKind.PATH_LOST, false, "this instance lost its own path to the target"));
    }

    @Override
    public void extendWindow(int bytes) {
        call.extendWindow(bytes);
    }

    @Override
    public void cancel() {
        finish();
        call.cancel();
    }

    @Override
    public boolean maySend() {
        return !finished.get() && listener.maySend();
    }

    @Override
    public void headReceived(ResponseHead head) {
        receivingSinceNanos = clock.nanos();
        recordProgress();
        if (!finished.get()) {
            listener.headReceived(head);
        }
    }

    @Override
    public void bodyReceived(byte[] bytes) {
        lastProgressNanos = clock.nanos();
        paths.exchangeContinues(target, receivingSinceNanos);
        if (!finished.get()) {
            listener.bodyReceived(bytes);
        }
    }

    @Override
    public void responseCompleted() {
        recordProgress();
        if (finish()) {
            listener.responseCompleted();
        }
    }

    @Override
    public void failed(TargetConnector.Failure failure) {
        if (!finish()) {
            return;
        }
        switch (failure.kind()) {
            case UNREACHABLE -> paths.connectionFailed(target, Duration.ofNanos(clock.nanos() - startNanos));
            case CONNECTION_LOST -> paths.connectionLost(target);
            default -> recordProgress();
        }
        listener.failed(failure);
    }

    private boolean finish() {
        registry.remove(this);
        return finished.compareAndSet(false, true);
    }

    private void recordProgress() {
        lastProgressNanos = clock.nanos();
        paths.contact(target);
    }
}
