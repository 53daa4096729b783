package org.basilrill.coordination.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.control.LeaderConfirmation.Confirmed;
import org.basilrill.coordination.control.SessionTracker.Session;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.thrift.control.AnswerStatus;
import org.basilrill.thrift.control.ConfirmAnswer;
import org.basilrill.thrift.control.ConfirmRequest;
import org.basilrill.thrift.control.ControlMessage;
import org.basilrill.thrift.control.PullRequest;
import org.basilrill.thrift.control.SessionState;

/**
 * Collects the pull requests that reach a replica and has the leader confirm them in batches. Responds from the
 * replica's own state once it is at least as new as the confirmed one. At most one batch is in flight. Thread safe;
 * sends outside its lock.
 */
final class PullBatcher {
    /**
     * Time to collect pulls into a batch. Each batch costs the leader one message and one round, so the leader's load
     * grows with the replicas and not with the instances. Small compared to the objective that a change is in effect
     * within 1 s.
     */
    static final Duration BATCHING_DELAY = Duration.ofMillis(50);

    /** Time after which a batch is considered lost. */
    static final Duration BATCH_TIMEOUT = Duration.ofMillis(200);

    /** Time after which a pending pull is dropped; its sender has pulled from another replica in the meantime. */
    private static final Duration PULL_LIFETIME = Duration.ofSeconds(1);

    private final ControlEndpoint endpoint;
    private final ControlLog log;
    private final LeaderConfirmation confirmation;
    private final ControlStateMachine machine;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final BiConsumer<PendingPull, Boolean> responseSender;
    private final Map<InstanceId, PendingPull> pendingPulls = new LinkedHashMap<>();
    private final List<ConfirmedPull> confirmedPulls = new ArrayList<>();
    private Optional<Batch> inFlightBatch = Optional.empty();
    private boolean flushScheduled;
    private boolean catchUpScheduled;
    private long nextBatchId;

    /**
     * Creates an empty batcher.
     *
     * @param responseSender sends the response to a pull, given whether the session is held
     */
    PullBatcher(
            ControlEndpoint endpoint,
            ControlLog log,
            LeaderConfirmation confirmation,
            ControlStateMachine machine,
            MonotonicClock clock,
            Scheduler scheduler,
            RandomGenerator random,
            BiConsumer<PendingPull, Boolean> responseSender) {
        this.endpoint = endpoint;
        this.log = log;
        this.confirmation = confirmation;
        this.machine = machine;
        this.clock = clock;
        this.scheduler = scheduler;
        this.responseSender = responseSender;
        // Starts at a random id, so that responses to an earlier process of this replica do not confirm newer pulls.
        this.nextBatchId = random.nextLong();
    }

    /** Adds a pull, which replaces an earlier pending one of the same instance. */
    void add(InstanceId sender, PullRequest request) {
        synchronized (this) {
            pendingPulls.put(sender, new PendingPull(sender, request, clock.nanos()));
        }
        scheduleFlush(BATCHING_DELAY);
    }

    /** Handles the leader's response to the batch in flight; ignores responses to earlier batches. */
    void confirmResponseReceived(ConfirmAnswer message) {
        if (message.getStatus() != AnswerStatus.DONE) {
            batchFailed(message.getBatchId());
            return;
        }
        List<Session> openSessions =
                message.getHeldSessions().stream().map(PullBatcher::session).toList();
        batchConfirmed(message.getBatchId(), new Confirmed(message.getViewIndex(), openSessions));
    }

    private void scheduleFlush(Duration delay) {
        synchronized (this) {
            if (flushScheduled) {
                return;
            }
            flushScheduled = true;
        }
        scheduler.schedule(delay, this::flush);
    }

    private void flush() {
        Batch batch;
        synchronized (this) {
            flushScheduled = false;
            pendingPulls.values().removeIf(this::isTooOld);
            if (pendingPulls.isEmpty() || inFlightBatch.isPresent()) {
                return;
            }
            batch = new Batch(nextBatchId++, List.copyOf(pendingPulls.values()));
            pendingPulls.clear();
            inFlightBatch = Optional.of(batch);
        }
        scheduler.schedule(BATCH_TIMEOUT, () -> batchFailed(batch.id()));
        send(batch);
    }

    private void send(Batch batch) {
        if (log.isLeader()) {
            confirmation.confirm(batch.sessions()).whenComplete((confirmed, failure) -> {
                if (failure == null) {
                    batchConfirmed(batch.id(), confirmed);
                } else {
                    batchFailed(batch.id());
                }
            });
            return;
        }
        // Without a known leader the batch times out and is sent again.
        log.leader().filter(leader -> !leader.equals(endpoint.self())).ifPresent(leader -> {
            List<SessionState> sessions =
                    batch.sessions().stream().map(PullBatcher::state).toList();
            endpoint.send(leader, ControlMessage.confirmRequest(new ConfirmRequest(batch.id(), sessions)));
        });
    }

    private void batchConfirmed(long batchId, Confirmed confirmed) {
        Optional<Batch> batch = takeInFlight(batchId);
        if (batch.isEmpty()) {
            return;
        }
        Set<Session> openSessions = new HashSet<>(confirmed.openSessions());
        List<ConfirmedPull> newlyConfirmed = batch.get().pulls().stream()
                .map(pull -> new ConfirmedPull(pull, openSessions.contains(pull.session()), confirmed.viewIndex()))
                .toList();
        synchronized (this) {
            confirmedPulls.addAll(newlyConfirmed);
        }
        respondIfCaughtUp();
        scheduleFlush(Duration.ZERO);
    }

    /** Queues the pulls of a lost batch again, except those whose instance has sent a newer one. */
    private void batchFailed(long batchId) {
        Optional<Batch> batch = takeInFlight(batchId);
        if (batch.isEmpty()) {
            return;
        }
        synchronized (this) {
            batch.get().pulls().forEach(pull -> pendingPulls.putIfAbsent(pull.sender(), pull));
        }
        scheduleFlush(CommandSubmitter.RETRY_PAUSE);
    }

    private synchronized Optional<Batch> takeInFlight(long batchId) {
        Optional<Batch> batch = inFlightBatch.filter(current -> current.id() == batchId);
        if (batch.isPresent()) {
            inFlightBatch = Optional.empty();
        }
        return batch;
    }

    /**
     * Responds to the confirmed pulls that this replica's state has caught up with, and schedules another check for the
     * rest.
     */
    private void respondIfCaughtUp() {
        long viewIndex = machine.view().index();
        List<ConfirmedPull> ready;
        boolean repeat;
        synchronized (this) {
            confirmedPulls.removeIf(entry -> isTooOld(entry.pull()));
            ready = confirmedPulls.stream()
                    .filter(entry -> entry.viewIndex() <= viewIndex)
                    .toList();
            confirmedPulls.removeAll(ready);
            repeat = !confirmedPulls.isEmpty() && !catchUpScheduled;
            catchUpScheduled |= repeat;
        }
        ready.forEach(entry -> responseSender.accept(entry.pull(), entry.sessionHeld()));
        if (repeat) {
            scheduler.schedule(BATCHING_DELAY, this::catchUp);
        }
    }

    private void catchUp() {
        synchronized (this) {
            catchUpScheduled = false;
        }
        respondIfCaughtUp();
    }

    private boolean isTooOld(PendingPull pull) {
        return clock.nanos() - pull.receivedNanos() > PULL_LIFETIME.toNanos();
    }

    static Session session(SessionState state) {
        return new Session(new InstanceId(state.getInstance()), state.getSessionId());
    }

    static SessionState state(Session session) {
        return new SessionState(session.instance().value(), session.sessionId());
    }

    /** A pull without a response. */
    record PendingPull(InstanceId sender, PullRequest request, long receivedNanos) {
        private Session session() {
            return new Session(sender, request.getSessionId());
        }
    }

    /** Pulls that the leader confirms together. */
    private record Batch(long id, List<PendingPull> pulls) {
        private Collection<Session> sessions() {
            return pulls.stream()
                    .filter(pull -> pull.request().getSessionId() != 0)
                    .map(PendingPull::session)
                    .toList();
        }
    }

    /** A confirmed pull that waits until this replica's view reaches the index. */
    private record ConfirmedPull(PendingPull pull, boolean sessionHeld, long viewIndex) {}
}
