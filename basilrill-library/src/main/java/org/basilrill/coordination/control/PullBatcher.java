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
import org.basilrill.coordination.control.SeenSessions.Session;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.thrift.control.AnswerStatus;
import org.basilrill.thrift.control.ConfirmAnswer;
import org.basilrill.thrift.control.ConfirmRequest;
import org.basilrill.thrift.control.ControlMessage;
import org.basilrill.thrift.control.PullRequest;
import org.basilrill.thrift.control.SessionState;

/**
 * Gathers the pulls that reach a replica, has the leader confirm them in batches and answers them from the replica's
 * own state once it is at least as new as the confirmed one. One batch is under way at a time. Thread safe; sends
 * outside its lock.
 */
final class PullBatcher {
    /**
     * Time to gather pulls into a batch. Each batch costs the leader a message and a round, so that its work grows with
     * the replicas and not with the instances; small against the objective of 1 s for a change to be in force.
     */
    static final Duration GATHERING_TIME = Duration.ofMillis(50);

    /** Time after which a batch is taken as lost. */
    static final Duration BATCH_TIMEOUT = Duration.ofMillis(200);

    /** Time after which an unanswered pull is dropped; its sender has asked another replica since. */
    private static final Duration PULL_LIFETIME = Duration.ofSeconds(1);

    private final ControlEndpoint endpoint;
    private final ControlLog log;
    private final LeaderConfirmation confirmation;
    private final ControlStateMachine machine;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final BiConsumer<Waiting, Boolean> answer;
    private final Map<InstanceId, Waiting> gathered = new LinkedHashMap<>();
    private final List<Behind> behind = new ArrayList<>();
    private Optional<Batch> underWay = Optional.empty();
    private boolean flushScheduled;
    private boolean catchUpScheduled;
    private long nextBatchId;

    /**
     * Creates an empty batcher.
     *
     * @param answer sends the answer to a pull, given whether the session is held
     */
    PullBatcher(
            ControlEndpoint endpoint,
            ControlLog log,
            LeaderConfirmation confirmation,
            ControlStateMachine machine,
            MonotonicClock clock,
            Scheduler scheduler,
            RandomGenerator random,
            BiConsumer<Waiting, Boolean> answer) {
        this.endpoint = endpoint;
        this.log = log;
        this.confirmation = confirmation;
        this.machine = machine;
        this.clock = clock;
        this.scheduler = scheduler;
        this.answer = answer;
        // A random origin keeps an answer to an earlier process of this replica from confirming newer pulls.
        this.nextBatchId = random.nextLong();
    }

    /** Adds a pull; it replaces an earlier one of the same instance. */
    void add(InstanceId sender, PullRequest request) {
        synchronized (this) {
            gathered.put(sender, new Waiting(sender, request, clock.nanos()));
        }
        scheduleFlush(GATHERING_TIME);
    }

    /** Takes the leader's answer to the batch under way; answers to earlier batches are ignored. */
    void answered(ConfirmAnswer message) {
        if (message.getStatus() != AnswerStatus.DONE) {
            failed(message.getBatchId());
            return;
        }
        List<Session> held =
                message.getHeldSessions().stream().map(PullBatcher::session).toList();
        confirmed(message.getBatchId(), new Confirmed(message.getViewIndex(), held));
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
            gathered.values().removeIf(this::isTooOld);
            if (gathered.isEmpty() || underWay.isPresent()) {
                return;
            }
            batch = new Batch(nextBatchId++, List.copyOf(gathered.values()));
            gathered.clear();
            underWay = Optional.of(batch);
        }
        scheduler.schedule(BATCH_TIMEOUT, () -> failed(batch.id()));
        send(batch);
    }

    private void send(Batch batch) {
        if (log.isLeader()) {
            confirmation.confirm(batch.sessions()).whenComplete((confirmed, failure) -> {
                if (failure == null) {
                    confirmed(batch.id(), confirmed);
                } else {
                    failed(batch.id());
                }
            });
            return;
        }
        // Without a known leader the batch fails by its timeout and is sent again.
        log.leader().filter(leader -> !leader.equals(endpoint.self())).ifPresent(leader -> {
            List<SessionState> sessions =
                    batch.sessions().stream().map(PullBatcher::state).toList();
            endpoint.send(leader, ControlMessage.confirmRequest(new ConfirmRequest(batch.id(), sessions)));
        });
    }

    private void confirmed(long batchId, Confirmed confirmed) {
        Optional<Batch> batch = take(batchId);
        if (batch.isEmpty()) {
            return;
        }
        Set<Session> held = new HashSet<>(confirmed.held());
        List<Behind> answers = batch.get().pulls().stream()
                .map(pull -> new Behind(pull, held.contains(pull.session()), confirmed.viewIndex()))
                .toList();
        synchronized (this) {
            behind.addAll(answers);
        }
        answerCaughtUp();
        scheduleFlush(Duration.ZERO);
    }

    /** Gathers the pulls of a lost batch again, except those whose instance has sent a newer one. */
    private void failed(long batchId) {
        Optional<Batch> batch = take(batchId);
        if (batch.isEmpty()) {
            return;
        }
        synchronized (this) {
            batch.get().pulls().forEach(pull -> gathered.putIfAbsent(pull.sender(), pull));
        }
        scheduleFlush(CommandSubmitter.PAUSE);
    }

    private synchronized Optional<Batch> take(long batchId) {
        Optional<Batch> batch = underWay.filter(current -> current.id() == batchId);
        if (batch.isPresent()) {
            underWay = Optional.empty();
        }
        return batch;
    }

    /** Answers the confirmed pulls that this replica's state has caught up with and looks again later for the rest. */
    private void answerCaughtUp() {
        long viewIndex = machine.view().index();
        List<Behind> ready;
        boolean repeat;
        synchronized (this) {
            behind.removeIf(entry -> isTooOld(entry.pull()));
            ready = behind.stream()
                    .filter(entry -> entry.viewIndex() <= viewIndex)
                    .toList();
            behind.removeAll(ready);
            repeat = !behind.isEmpty() && !catchUpScheduled;
            catchUpScheduled |= repeat;
        }
        ready.forEach(entry -> answer.accept(entry.pull(), entry.sessionHeld()));
        if (repeat) {
            scheduler.schedule(GATHERING_TIME, this::catchUp);
        }
    }

    private void catchUp() {
        synchronized (this) {
            catchUpScheduled = false;
        }
        answerCaughtUp();
    }

    private boolean isTooOld(Waiting pull) {
        return clock.nanos() - pull.receivedNanos() > PULL_LIFETIME.toNanos();
    }

    static Session session(SessionState state) {
        return new Session(new InstanceId(state.getInstance()), state.getSessionId());
    }

    static SessionState state(Session session) {
        return new SessionState(session.instance().value(), session.sessionId());
    }

    /** A pull that waits for its answer. */
    record Waiting(InstanceId sender, PullRequest request, long receivedNanos) {
        private Session session() {
            return new Session(sender, request.getSessionId());
        }
    }

    /** Pulls that the leader confirms together. */
    private record Batch(long id, List<Waiting> pulls) {
        private Collection<Session> sessions() {
            return pulls.stream()
                    .filter(pull -> pull.request().getSessionId() != 0)
                    .map(Waiting::session)
                    .toList();
        }
    }

    /** A confirmed pull that waits until this replica holds a view of the index. */
    private record Behind(Waiting pull, boolean sessionHeld, long viewIndex) {}
}
