package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.Scheduler;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;

/**
 * Access of one process to the stand-in of the control log over a lossy link: pulls the state and renews its session
 * every 500 ms. Not thread safe.
 */
public final class VirtualControlClient implements ControlClient {
    private static final Duration PULL_INTERVAL = Duration.ofMillis(500);
    private static final Duration RETRY_INTERVAL = Duration.ofMillis(100);
    private static final long LEASE_NANOS = Duration.ofSeconds(3).toNanos();

    private final InstanceId instance;
    private final VirtualTime time;
    private final Scheduler scheduler;
    private final VirtualControlLog log;
    private final VirtualNetwork network;
    private final List<Consumer<ControlView>> listeners = new ArrayList<>();
    private ControlView view = ControlView.empty();
    private long session;
    private long requestedSession;
    private long confirmedAt = Long.MIN_VALUE / 2;

    public VirtualControlClient(
            InstanceId instance,
            VirtualTime time,
            Scheduler scheduler,
            VirtualControlLog log,
            VirtualNetwork network,
            long firstSession) {
        this.instance = instance;
        this.time = time;
        this.scheduler = scheduler;
        this.log = log;
        this.network = network;
        this.requestedSession = firstSession;
    }

    /** Begins to pull. */
    public void start() {
        pull();
    }

    @Override
    public CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline) {
        CompletableFuture<ControlResult> result = new CompletableFuture<>();
        long giveUpAt = time.nanos() + deadline.toNanos();
        attempt(command, giveUpAt, result);
        return result;
    }

    @Override
    public ControlView view() {
        return view;
    }

    @Override
    public boolean isCurrent() {
        return time.nanos() - confirmedAt < LEASE_NANOS;
    }

    @Override
    public long sessionId() {
        return session;
    }

    @Override
    public boolean holdsSession() {
        return session != 0 && isCurrent();
    }

    @Override
    public void onView(Consumer<ControlView> listener) {
        listeners.add(listener);
    }

    private void attempt(ControlCommand command, long giveUpAt, CompletableFuture<ControlResult> result) {
        if (result.isDone()) {
            return;
        }
        if (time.nanos() >= giveUpAt) {
            result.completeExceptionally(
                    new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "control log does not answer"));
            return;
        }
        network.controlLink(instance, () -> {
            ControlResult answer = log.apply(command);
            network.controlLink(instance, () -> scheduler.schedule(Duration.ZERO, () -> result.complete(answer)));
        });
        scheduler.schedule(RETRY_INTERVAL, () -> attempt(command, giveUpAt, result));
    }

    private void pull() {
        long sentAt = time.nanos();
        long wanted = session == 0 ? requestedSession : session;
        network.controlLink(instance, () -> {
            if (session == 0) {
                log.apply(new ControlCommand.RegisterSession(instance, wanted));
            }
            boolean open = log.renew(instance, wanted);
            ControlView answer = log.view();
            network.controlLink(
                    instance, () -> scheduler.schedule(Duration.ZERO, () -> installed(answer, wanted, open, sentAt)));
        });
        scheduler.schedule(PULL_INTERVAL, this::pull);
    }

    private void installed(ControlView answer, long asked, boolean open, long sentAt) {
        if (session != 0 && asked != session) {
            return;
        }
        if (!open) {
            session = 0;
            requestedSession = asked + 1;
            return;
        }
        session = asked;
        confirmedAt = Math.max(confirmedAt, sentAt);
        if (answer.index() > view.index()) {
            view = answer;
            listeners.forEach(listener -> listener.accept(answer));
        }
    }
}
