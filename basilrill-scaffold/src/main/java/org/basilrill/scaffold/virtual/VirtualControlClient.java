package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
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
 * Connects one process to the simulated control log over a lossy link. Pulls the state and renews the session every
 * 500 ms. Not thread safe.
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
    private long leaseRenewedAt = Long.MIN_VALUE / 2;

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

    /** Starts pulling the state. */
    public void start() {
        pull();
    }

    @Override
    public CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline) {
        CompletableFuture<ControlResult> result = new CompletableFuture<>();
        long deadlineNanos = time.nanos() + deadline.toNanos();
        sendAndRetry(command, deadlineNanos, result);
        return result;
    }

    @Override
    public ControlView view() {
        return view;
    }

    @Override
    public boolean isCurrent() {
        return time.nanos() - leaseRenewedAt < LEASE_NANOS;
    }

    @Override
    public Optional<Duration> confirmationAge() {
        return Optional.of(Duration.ofNanos(time.nanos() - leaseRenewedAt));
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

    private void sendAndRetry(ControlCommand command, long deadlineNanos, CompletableFuture<ControlResult> result) {
        if (result.isDone()) {
            return;
        }
        if (time.nanos() >= deadlineNanos) {
            result.completeExceptionally(
                    new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "no response from the control log"));
            return;
        }
        network.sendOverControlLink(instance, () -> {
            ControlResult response = log.apply(command);
            network.sendOverControlLink(
                    instance, () -> scheduler.schedule(Duration.ZERO, () -> result.complete(response)));
        });
        scheduler.schedule(RETRY_INTERVAL, () -> sendAndRetry(command, deadlineNanos, result));
    }

    private void pull() {
        long sentAt = time.nanos();
        long pulledSession = session == 0 ? requestedSession : session;
        network.sendOverControlLink(instance, () -> {
            if (session == 0) {
                log.apply(new ControlCommand.RegisterSession(instance, pulledSession));
            }
            boolean open = log.renew(instance, pulledSession);
            ControlView response = log.view();
            network.sendOverControlLink(
                    instance,
                    () -> scheduler.schedule(
                            Duration.ZERO, () -> applyPullResponse(response, pulledSession, open, sentAt)));
        });
        scheduler.schedule(PULL_INTERVAL, this::pull);
    }

    private void applyPullResponse(ControlView response, long pulledSession, boolean open, long sentAt) {
        if (session != 0 && pulledSession != session) {
            return;
        }
        if (!open) {
            session = 0;
            requestedSession = pulledSession + 1;
            return;
        }
        session = pulledSession;
        leaseRenewedAt = Math.max(leaseRenewedAt, sentAt);
        if (response.index() > view.index()) {
            view = response;
            listeners.forEach(listener -> listener.accept(response));
        }
    }
}
