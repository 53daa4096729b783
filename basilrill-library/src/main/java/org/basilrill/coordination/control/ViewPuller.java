package org.basilrill.coordination.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.control.ConfirmationClock.Instant;
import org.basilrill.state.configuration.RulesFormat;
import org.basilrill.state.configuration.RulesSource;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.ViewCodec;
import org.basilrill.thrift.control.ControlMessage;
import org.basilrill.thrift.control.PullAnswer;
import org.basilrill.thrift.control.PullRequest;
import org.basilrill.thrift.control.ViewMessage;

/**
 * Pulls the control view from a replica and tracks its freshness. Each pull contains the session and renews it. Ages
 * count from the time the confirmed pull was sent; they are unknown, and nothing counts as current, after a suspension
 * of the machine until the next confirmation. Thread safe; sends outside its lock.
 */
final class ViewPuller {
    static final Duration PULL_INTERVAL = Duration.ofMillis(500);

    /** Age of the last confirmation from which on the view is not current. */
    static final Duration FRESHNESS_BOUND = Duration.ofSeconds(3);

    /** Age of the last renewal from which on the session may have expired; 2 s shorter than the leader's timeout. */
    static final Duration SESSION_LEASE = Duration.ofSeconds(3);

    /** Reads within this time share one pull, so that many reads do not evict pending pulls. */
    private static final Duration READ_BATCHING_DELAY = Duration.ofMillis(50);

    /** Maximum number of pulls without a response; older ones no longer prove freshness. */
    private static final int MAXIMUM_PENDING = 8;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ControlEndpoint endpoint;
    private final ReplicaDirectory directory;
    private final ViewHolder viewHolder;
    private final RulesFormat format;
    private final ConfirmationClock clock;
    private final Scheduler scheduler;
    private final LinkedHashMap<Long, Pull> pending = new LinkedHashMap<>();
    private InstanceId replica;
    private boolean respondedSinceLastPull = true;
    private long nextRequestId;
    private long sessionId;
    private Optional<Instant> confirmedAt = Optional.empty();
    private Optional<Instant> renewedAt = Optional.empty();
    private Runnable sessionLost = () -> {};
    private final List<Read> reads = new ArrayList<>();
    private boolean readPullScheduled;
    private boolean stopped;

    ViewPuller(
            ControlEndpoint endpoint,
            ReplicaDirectory directory,
            ViewHolder viewHolder,
            RulesFormat format,
            ConfirmationClock clock,
            Scheduler scheduler,
            RandomGenerator random) {
        this.endpoint = endpoint;
        this.directory = directory;
        this.viewHolder = viewHolder;
        this.format = format;
        this.clock = clock;
        this.scheduler = scheduler;
        this.replica = directory.any();
        this.nextRequestId = random.nextLong();
    }

    /** Starts pulling; the action runs whenever the session is found to have ended. */
    void start(Runnable onSessionLost) {
        synchronized (this) {
            sessionLost = onSessionLost;
        }
        pullAndRepeat();
    }

    synchronized void stop() {
        stopped = true;
    }

    /** Starts using a registered session and renews it immediately. */
    void openSession(long id) {
        synchronized (this) {
            sessionId = id;
            renewedAt = Optional.empty();
        }
        pull();
    }

    /** Stops using the session immediately; returns its id, or 0 if there is none. */
    synchronized long closeSession() {
        long closed = sessionId;
        sessionId = 0;
        renewedAt = Optional.empty();
        return closed;
    }

    synchronized long sessionId() {
        return sessionId;
    }

    /**
     * Returns whether the view is confirmed. The first call after a suspension discards the confirmation and sends a
     * pull.
     */
    boolean isCurrent() {
        synchronized (this) {
            if (confirmedAt.filter(clock::hasDiverged).isEmpty()) {
                return isWithin(confirmedAt, FRESHNESS_BOUND);
            }
            confirmedAt = Optional.empty();
            renewedAt = Optional.empty();
        }
        scheduler.schedule(Duration.ZERO, this::pullUnlessStopped);
        return false;
    }

    synchronized Optional<Duration> confirmationAge() {
        return confirmedAt.map(clock::age);
    }

    synchronized boolean holdsSession() {
        return sessionId != 0 && isWithin(renewedAt, SESSION_LEASE);
    }

    /** Completes once a pull sent after this call is confirmed; fails with {@code CONTROL_UNAVAILABLE}. */
    CompletableFuture<Void> confirm(Duration deadline) {
        CompletableFuture<Void> confirmed = new CompletableFuture<>();
        Scheduler.Cancellable timer = scheduler.schedule(
                deadline,
                () -> confirmed.completeExceptionally(new BasilrillException(
                        ErrorCode.CONTROL_UNAVAILABLE, "no replica of the control log confirmed the state in time")));
        boolean schedule;
        synchronized (this) {
            reads.removeIf(read -> read.confirmed().isDone());
            reads.add(new Read(nextRequestId, confirmed));
            schedule = !readPullScheduled;
            readPullScheduled = true;
        }
        if (schedule) {
            scheduler.schedule(READ_BATCHING_DELAY, this::pullForReads);
        }
        return confirmed.whenComplete((done, failure) -> timer.cancel());
    }

    void responseReceived(InstanceId sender, PullAnswer response) {
        directory.updateMembers(
                response.getReplicas().stream().map(InstanceId::new).toList());
        if (response.isSetLeader()) {
            directory.recordLeader(new InstanceId(response.getLeader()));
        }
        installNewer(response);
        Runnable lost = () -> {};
        List<Read> confirmedReads;
        synchronized (this) {
            Pull pull = pending.remove(response.getRequestId());
            if (pull == null) {
                return;
            }
            respondedSinceLastPull |= sender.equals(replica);
            if (clock.hasDiverged(pull.sentAt())) {
                return;
            }
            confirmedAt = latestOf(confirmedAt, pull.sentAt());
            confirmedReads = takeConfirmedReads(response.getRequestId());
            if (pull.sessionId() != 0 && pull.sessionId() == sessionId) {
                if (response.isSessionHeld()) {
                    renewedAt = latestOf(renewedAt, pull.sentAt());
                } else {
                    sessionId = 0;
                    renewedAt = Optional.empty();
                    lost = sessionLost;
                }
            }
        }
        lost.run();
        confirmedReads.forEach(read -> read.confirmed().complete(null));
    }

    private void installNewer(PullAnswer response) {
        ControlView currentView = viewHolder.view();
        if (!response.isSetView() || response.getView().getIndex() <= currentView.index()) {
            return;
        }
        ViewMessage message = response.getView();
        Instant receivedAt = clock.now();
        ControlView view = ViewCodec.fromMessage(message, currentView.rules(), format);
        if (message.isSetRulesText()) {
            viewHolder.updateRulesSource(new RulesSource(message.getRulesRevision(), message.getRulesText()));
            LOGGER.atInfo().log(
                    "%s: %d, %d characters, %s, decoded in %d ms",
                    LogEvent.RULES_RECEIVED,
                    message.getRulesRevision(),
                    message.getRulesText().length(),
                    pullAge(response.getRequestId()),
                    clock.age(receivedAt).toMillis());
        }
        viewHolder.install(view);
    }

    private synchronized String pullAge(long requestId) {
        return Optional.ofNullable(pending.get(requestId))
                .map(pull -> "pulled " + clock.age(pull.sentAt()).toMillis() + " ms ago")
                .orElse("pulled long ago");
    }

    /** Removes and returns the reads that began before the pull was sent. Called with the lock held. */
    private List<Read> takeConfirmedReads(long requestId) {
        List<Read> taken = reads.stream()
                .filter(read -> requestId - read.firstRequestId() >= 0)
                .toList();
        reads.removeAll(taken);
        return taken;
    }

    private void pullForReads() {
        synchronized (this) {
            readPullScheduled = false;
        }
        pull();
    }

    private void pullUnlessStopped() {
        synchronized (this) {
            if (stopped) {
                return;
            }
        }
        pull();
    }

    private void pullAndRepeat() {
        synchronized (this) {
            if (stopped) {
                return;
            }
            if (!respondedSinceLastPull) {
                replica = directory.nextAfter(replica);
            }
            respondedSinceLastPull = false;
        }
        try {
            pull();
        } finally {
            scheduler.schedule(PULL_INTERVAL, this::pullAndRepeat);
        }
    }

    private void pull() {
        ControlView currentView = viewHolder.view();
        InstanceId recipient;
        PullRequest request;
        synchronized (this) {
            recipient = replica;
            request = new PullRequest(
                    nextRequestId++, currentView.index(), currentView.rules().revision(), sessionId);
            pending.put(request.getRequestId(), new Pull(clock.now(), sessionId));
            if (pending.size() > MAXIMUM_PENDING) {
                Iterator<Map.Entry<Long, Pull>> oldest = pending.entrySet().iterator();
                oldest.next();
                oldest.remove();
            }
        }
        endpoint.send(recipient, ControlMessage.pullRequest(request));
    }

    private boolean isWithin(Optional<Instant> sentAt, Duration bound) {
        return sentAt.filter(sent -> clock.isWithin(sent, bound)).isPresent();
    }

    private static Optional<Instant> latestOf(Optional<Instant> known, Instant sentAt) {
        return known.filter(at -> !sentAt.isAfter(at)).or(() -> Optional.of(sentAt));
    }

    /** A read, which any pull with the given or a later request id confirms. */
    private record Read(long firstRequestId, CompletableFuture<Void> confirmed) {}

    /** A pull without a response. */
    private record Pull(Instant sentAt, long sessionId) {}
}
