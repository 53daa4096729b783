package org.basilrill.transport.threads;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.BiConsumer;
import java.util.stream.Collectors;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.consensus.ReplicaId;
import org.basilrill.coordination.consensus.ReplicaRole;
import org.basilrill.coordination.consensus.ReplicaStatus;

/**
 * Observes for how long the control log has had no leader, as one replica sees it, and which voters it does not hear.
 * Reports the begin and the end once each. Thread safe, but observed by one thread at a time.
 */
final class LeaderWatch {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Twice the longest election timeout: a live replica sends or answers something in that time. */
    private static final Duration SILENCE = Duration.ofSeconds(1);
    /** Longer than an election, so that a planned change of the leader is no event. */
    private static final Duration REPORTED_AFTER = Duration.ofSeconds(2);

    private final MonotonicClock clock;
    private final BiConsumer<LogEvent, String> events;
    private final Map<InstanceId, Long> lastHeard = new ConcurrentHashMap<>();
    private volatile Optional<Long> withoutLeaderSince;
    private volatile long observedAt;
    private boolean reported;

    /** Creates a watch that counts from now on. */
    LeaderWatch(MonotonicClock clock, BiConsumer<LogEvent, String> events) {
        this.clock = clock;
        this.events = events;
        this.observedAt = clock.nanos();
        this.withoutLeaderSince = Optional.of(observedAt);
    }

    /** Creates a watch that reports to the log. */
    static LeaderWatch reportingToLog(MonotonicClock clock) {
        return new LeaderWatch(clock, (event, detail) -> LOGGER.atWarning().log("%s: %s", event, detail));
    }

    /** Records a message of another replica. */
    void heard(InstanceId sender) {
        lastHeard.put(sender, clock.nanos());
    }

    /** Compares the status of the replica with the last one. Called with every tick. */
    void observe(ReplicaStatus status) {
        long now = clock.nanos();
        observedAt = now;
        if (hasLeader(status, now)) {
            leaderFound(now);
            return;
        }
        if (withoutLeaderSince.isEmpty()) {
            withoutLeaderSince = Optional.of(now);
        }
        Duration length = Duration.ofNanos(now - withoutLeaderSince.get());
        if (!reported && length.compareTo(REPORTED_AFTER) >= 0) {
            reported = true;
            events.accept(
                    LogEvent.CONTROL_LOG_WITHOUT_LEADER,
                    String.format(
                            "for %d ms, this replica is %s, %s",
                            length.toMillis(), status.role(), silent(status, now)));
        }
    }

    /**
     * Returns for how long there has been no leader; empty while there is one. A replica whose thread hangs, as on a
     * disk that does, knows of none.
     */
    Optional<Duration> withoutLeader() {
        long now = clock.nanos();
        Optional<Long> since = withoutLeaderSince;
        boolean hangs = now - observedAt > SILENCE.toNanos();
        return since.or(() -> hangs ? Optional.of(observedAt) : Optional.empty())
                .map(begin -> Duration.ofNanos(now - begin));
    }

    private void leaderFound(long now) {
        if (reported) {
            Duration length = Duration.ofNanos(now - withoutLeaderSince.orElse(now));
            events.accept(LogEvent.CONTROL_LOG_HAS_LEADER, "after " + length.toMillis() + " ms");
        }
        reported = false;
        withoutLeaderSince = Optional.empty();
    }

    /** A learner begins no election, so it knows a lost leader only by its silence. */
    private boolean hasLeader(ReplicaStatus status, long now) {
        boolean suspended = status.role() == ReplicaRole.SUSPENDED;
        boolean heardOf = status.leader()
                .filter(leader -> leader.equals(status.self().instance()) || isHeard(leader, now))
                .isPresent();
        return heardOf && !suspended;
    }

    private boolean isHeard(InstanceId instance, long now) {
        Long at = lastHeard.get(instance);
        return at != null && now - at < SILENCE.toNanos();
    }

    private String silent(ReplicaStatus status, long now) {
        String silent = status.members().voters().stream()
                .filter(voter -> !voter.equals(status.self()) && !isHeard(voter.instance(), now))
                .map(ReplicaId::toString)
                .collect(Collectors.joining(", "));
        return silent.isEmpty() ? "all other voters are heard" : "voters not heard: " + silent;
    }
}
