package org.basilrill.coordination.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.state.configuration.RulesFormat;
import org.basilrill.state.configuration.RulesSource;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.ViewCodec;
import org.basilrill.thrift.control.ControlMessage;
import org.basilrill.thrift.control.PullAnswer;
import org.basilrill.thrift.control.PullRequest;

/**
 * Pulls the control view from a replica and measures how fresh it is. Each pull carries the session and so renews it.
 * Ages count from when the answered pull was sent. Thread safe; sends outside its lock.
 */
final class ViewPuller {
    static final Duration PULL_INTERVAL = Duration.ofMillis(500);

    /** Age of the last confirmation beyond which the view does not count as current. */
    static final Duration FRESHNESS_BOUND = Duration.ofSeconds(3);

    /** Age of the last renewal beyond which the session may have expired; 2 s less than the leader's limit. */
    static final Duration SESSION_LEASE = Duration.ofSeconds(3);

    /** Reads within this time share one pull, so that many of them do not displace the pending pulls. */
    private static final Duration READ_GATHERING = Duration.ofMillis(50);

    /** Pulls that may still be answered; older ones no longer prove freshness. */
    private static final int MAXIMUM_PENDING = 8;

    private final ControlEndpoint endpoint;
    private final ReplicaDirectory directory;
    private final ViewHolder holder;
    private final RulesFormat format;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final LinkedHashMap<Long, Pull> pending = new LinkedHashMap<>();
    private InstanceId replica;
    private boolean answeredSinceLastPull = true;
    private long nextRequestId;
    private long sessionId;
    private OptionalLong confirmedNanos = OptionalLong.empty();
    private OptionalLong renewedNanos = OptionalLong.empty();
    private Runnable sessionLost = () -> {};
    private final List<Read> reads = new ArrayList<>();
    private boolean readPullScheduled;
    private boolean stopped;

    ViewPuller(
            ControlEndpoint endpoint,
            ReplicaDirectory directory,
            ViewHolder holder,
            RulesFormat format,
            MonotonicClock clock,
            Scheduler scheduler,
            RandomGenerator random) {
        this.endpoint = endpoint;
        this.directory = directory;
        this.holder = holder;
        this.format = format;
        this.clock = clock;
        this.scheduler = scheduler;
        this.replica = directory.any();
        this.nextRequestId = random.nextLong();
    }

    /** Starts pulling; the action runs whenever the session turns out to have ended. */
    void start(Runnable onSessionLost) {
        synchronized (this) {
            sessionLost = onSessionLost;
        }
        pullAndRepeat();
    }

    synchronized void stop() {
        stopped = true;
    }

    /** Uses a registered session from now on and renews it at once. */
    void openSession(long id) {
        synchronized (this) {
            sessionId = id;
            renewedNanos = OptionalLong.empty();
        }
        pull();
    }

    /** Stops using the session from this moment on; returns it, or 0 if there is none. */
    synchronized long closeSession() {
        long closed = sessionId;
        sessionId = 0;
        renewedNanos = OptionalLong.empty();
        return closed;
    }

    synchronized long sessionId() {
        return sessionId;
    }

    synchronized boolean isCurrent() {
        return isWithin(confirmedNanos, FRESHNESS_BOUND);
    }

    synchronized boolean holdsSession() {
        return sessionId != 0 && isWithin(renewedNanos, SESSION_LEASE);
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
            scheduler.schedule(READ_GATHERING, this::pullForReads);
        }
        return confirmed.whenComplete((done, failure) -> timer.cancel());
    }

    void answered(InstanceId sender, PullAnswer answer) {
        directory.learnReplicas(
                answer.getReplicas().stream().map(InstanceId::new).toList());
        ControlView held = holder.view();
        if (answer.isSetView() && answer.getView().getIndex() > held.index()) {
            if (answer.getView().isSetRulesText()) {
                holder.keepText(new RulesSource(
                        answer.getView().getRulesRevision(), answer.getView().getRulesText()));
            }
            holder.install(ViewCodec.fromMessage(answer.getView(), held.rules(), format));
        }
        Runnable lost = () -> {};
        List<Read> answered;
        synchronized (this) {
            Pull pull = pending.remove(answer.getRequestId());
            if (pull == null) {
                return;
            }
            answeredSinceLastPull |= sender.equals(replica);
            confirmedNanos = later(confirmedNanos, pull.sentNanos());
            answered = takeReads(answer.getRequestId());
            if (pull.sessionId() != 0 && pull.sessionId() == sessionId) {
                if (answer.isSessionHeld()) {
                    renewedNanos = later(renewedNanos, pull.sentNanos());
                } else {
                    sessionId = 0;
                    renewedNanos = OptionalLong.empty();
                    lost = sessionLost;
                }
            }
        }
        lost.run();
        answered.forEach(read -> read.confirmed().complete(null));
    }

    /** Takes the reads that began before the pull was sent. Called with the lock held. */
    private List<Read> takeReads(long requestId) {
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

    private void pullAndRepeat() {
        synchronized (this) {
            if (stopped) {
                return;
            }
            if (!answeredSinceLastPull) {
                replica = directory.after(replica);
            }
            answeredSinceLastPull = false;
        }
        pull();
        scheduler.schedule(PULL_INTERVAL, this::pullAndRepeat);
    }

    private void pull() {
        ControlView held = holder.view();
        InstanceId recipient;
        PullRequest request;
        synchronized (this) {
            recipient = replica;
            request =
                    new PullRequest(nextRequestId++, held.index(), held.rules().revision(), sessionId);
            pending.put(request.getRequestId(), new Pull(clock.nanos(), sessionId));
            if (pending.size() > MAXIMUM_PENDING) {
                Iterator<Map.Entry<Long, Pull>> oldest = pending.entrySet().iterator();
                oldest.next();
                oldest.remove();
            }
        }
        endpoint.send(recipient, ControlMessage.pullRequest(request));
    }

    private boolean isWithin(OptionalLong sentNanos, Duration bound) {
        return sentNanos.isPresent() && clock.nanos() - sentNanos.getAsLong() < bound.toNanos();
    }

    private static OptionalLong later(OptionalLong known, long nanos) {
        return known.isPresent() && known.getAsLong() - nanos >= 0 ? known : OptionalLong.of(nanos);
    }

    /** A read that any pull from the given request id on confirms. */
    private record Read(long firstRequestId, CompletableFuture<Void> confirmed) {}

    /** One pull that is not answered yet. */
    private record Pull(long sentNanos, long sessionId) {}
}
