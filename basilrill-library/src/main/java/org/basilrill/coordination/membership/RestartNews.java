package org.basilrill.coordination.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.membership.Fact.RestartSuspicionsFact;
import org.basilrill.coordination.path.RestartEvidence;
import org.basilrill.state.target.RestartSuspicion;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetRegistry;

/**
 * Tells all instances which targets refused a connection of this one, and registers what others tell: an instance that
 * has no exchange at a target when it ends has no sign of that itself, and would resume streams at the next incarnation
 * under the announced version. News of a target that is known already is not repeated within a second. Thread safe: one
 * lock guards the news.
 */
public final class RestartNews implements RestartEvidence {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** A target that goes on refusing connections is reported again after this time, so that no instance forgets it. */
    private static final Duration REPETITION_INTERVAL = Duration.ofSeconds(1);

    private static final int LOG_SECONDS = 1;

    private final GossipMembership membership;
    private final TargetRegistry registry;
    private final MonotonicClock clock;
    /** Suspicions that this instance has told, and those that it was told, which need no telling. */
    private final Map<TargetId, News> news = new HashMap<>();

    /** Creates the news of one instance and registers them with the membership. */
    public RestartNews(GossipMembership membership, TargetRegistry registry, MonotonicClock clock) {
        this.membership = membership;
        this.registry = registry;
        this.clock = clock;
        membership.onFact(this::factReceived);
        membership.onPeriod(this::periodPassed);
    }

    @Override
    public void connectionRefused(TargetAnnouncement target) {
        RestartSuspicion suspicion = RestartSuspicion.of(target);
        registry.suspectRestart(suspicion);
        if (add(suspicion, true)) {
            LOGGER.atInfo().log(
                    "%s: target %s, incarnation %d",
                    LogEvent.TARGET_VERSION_UNCONFIRMED, target.id(), target.incarnation());
            membership.publishUrgently(own());
        }
    }

    /** Does not tell others, whose own exchanges show whether the target has ended unless they stalled too. */
    @Override
    public void restartMayBeMissed(TargetAnnouncement target) {
        registry.suspectRestart(RestartSuspicion.of(target));
        LOGGER.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "%s: target %s, incarnation %d",
                LogEvent.TARGET_RESTART_MAY_BE_MISSED, target.id(), target.incarnation());
    }

    @Override
    public void exchangeContinues(TargetAnnouncement target, long receivingSinceNanos) {
        if (registry.exchangeContinues(target, receivingSinceNanos)) {
            LOGGER.atInfo().log(
                    "%s: target %s, incarnation %d",
                    LogEvent.TARGET_RESTART_DISPROVED, target.id(), target.incarnation());
        }
    }

    private void factReceived(InstanceId owner, Fact fact) {
        if (!(fact instanceof RestartSuspicionsFact told)) {
            return;
        }
        for (RestartSuspicion suspicion : told.suspicions()) {
            registry.suspectRestart(suspicion);
            if (add(suspicion, false)) {
                LOGGER.atInfo().log(
                        "%s: target %s, incarnation %d, by %s",
                        LogEvent.TARGET_RESTART_REPORTED, suspicion.target(), suspicion.incarnation(), owner);
            }
        }
    }

    /** Adds news; returns whether the suspicion was unknown, or is to be told again. */
    private synchronized boolean add(RestartSuspicion suspicion, boolean own) {
        long now = clock.nanos();
        News known = news.get(suspicion.target());
        boolean unknown = known == null
                || known.isExpired(now)
                || suspicion.incarnation() > known.suspicion().incarnation()
                || now - known.addedNanos() >= REPETITION_INTERVAL.toNanos();
        if (unknown) {
            news.put(suspicion.target(), new News(suspicion, own, now));
        }
        return unknown;
    }

    /** Returns the valid suspicions that this instance tells, each with the time that remains. */
    private synchronized RestartSuspicionsFact own() {
        long now = clock.nanos();
        List<RestartSuspicion> suspicions = new ArrayList<>();
        news.values().stream()
                .filter(known -> known.own() && !known.isExpired(now))
                .forEach(known -> suspicions.add(known.remaining(now)));
        return new RestartSuspicionsFact(suspicions);
    }

    private void periodPassed() {
        if (removeExpired()) {
            membership.publish(own());
        }
    }

    /** Removes expired news; returns whether others were told some of it, as new members would be told it too. */
    private synchronized boolean removeExpired() {
        long now = clock.nanos();
        boolean told = news.values().stream().anyMatch(known -> known.own() && known.isExpired(now));
        news.values().removeIf(known -> known.isExpired(now));
        return told;
    }

    /**
     * A suspicion that this instance knows.
     *
     * @param own whether this instance tells it to others
     */
    private record News(RestartSuspicion suspicion, boolean own, long addedNanos) {
        boolean isExpired(long nowNanos) {
            return remainingNanos(nowNanos) <= 0;
        }

        RestartSuspicion remaining(long nowNanos) {
            return new RestartSuspicion(
                    suspicion.target(), suspicion.incarnation(), Duration.ofNanos(remainingNanos(nowNanos)));
        }

        private long remainingNanos(long nowNanos) {
            return suspicion.validity().toNanos() - (nowNanos - addedNanos);
        }
    }
}
