package org.basilrill.coordination.path;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Decides which targets this instance reaches by itself. A target that neither this instance nor another one reaches
 * may be gone, which is decided elsewhere; the path to one target is lost only if another instance reaches it. If
 * several connections fail while no target is reached, all paths are presumed to be lost: requests then go by way of
 * other instances, which is right also if the targets are gone.
 *
 * <p>Evidence comes from the exchanges that run anyway. A path whose exchanges get no bytes is probed with a
 * connection, and an idle instance probes two random targets. The first lost path causes a probe of all others. A lost
 * path returns after successful probes, each path by itself, so that work returns gradually.
 *
 * <p>Thread safe: guarded by its own lock; checks and listeners are called without it.
 */
public final class TargetPaths {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(500);
    /** Targets seldom let a request wait this long while they send nothing to any other. */
    private static final Duration SUSPICIOUS_SILENCE = Duration.ofMillis(600);
    /** An instance without contact to any target for this long probes some. */
    private static final Duration IDLE_TIME = Duration.ofSeconds(1);
    /** Targets to which connections fail, while none is reached, before all paths are presumed to be lost. */
    private static final int FAILING_TARGETS_OF_A_CUT = 2;
    /** Probes per check of paths with waiting exchanges, so that busy targets get few additional connections. */
    private static final int PROBES_PER_CHECK = 2;

    private final Environment environment;
    private final OwnStalls stalls;
    private final Map<TargetId, TargetPath> paths = new HashMap<>();
    private long lastContactNanos;
    private volatile boolean stopped;

    /** Creates the paths; all count as usable until evidence shows otherwise. */
    public TargetPaths(Environment environment) {
        this.environment = environment;
        this.stalls = new OwnStalls(environment.clock(), environment.scheduler());
        this.lastContactNanos = environment.clock().nanos();
    }

    /**
     * The dependencies of the paths.
     *
     * @param targets the targets whose announcements have not expired
     * @param ownCheck opens a connection from this instance
     * @param otherCheck requests that another instance opens a connection
     * @param cutListener called when all paths are presumed to be lost
     * @param restartEvidence receives targets that refuse a connection, unless all paths are presumed to be lost
     * @param random chooses the target that an idle instance probes; used only under the lock of the paths
     */
    public record Environment(
            Supplier<Collection<TargetAnnouncement>> targets,
            ConnectionCheck ownCheck,
            ConnectionCheck otherCheck,
            DirectExchanges exchanges,
            Runnable cutListener,
            RestartEvidence restartEvidence,
            MonotonicClock clock,
            Scheduler scheduler,
            RandomGenerator random) {}

    /** Starts the periodic checks. */
    public void start() {
        environment.scheduler().schedule(CHECK_INTERVAL, this::check);
        stalls.start();
    }

    /** Stops the periodic checks. */
    public void stop() {
        stopped = true;
        stalls.stop();
    }

    /** Returns whether this instance has lost its own path to the target. */
    public synchronized boolean isLost(TargetId target) {
        TargetPath path = paths.get(target);
        return path != null && path.isLost();
    }

    /** Returns the number of targets to which this instance has lost its own path. */
    public synchronized int lostPaths() {
        return (int) paths.values().stream().filter(TargetPath::isLost).count();
    }

    /** Returns whether this instance has lost its own paths to most of the known targets. */
    public synchronized boolean isCutOff() {
        int lost = lostPaths();
        return lost > 0 && lost * 2 > environment.targets().get().size();
    }

    /** Records that bytes of a target arrived over this instance's own path. */
    public synchronized void contact(TargetAnnouncement target) {
        long now = environment.clock().nanos();
        lastContactNanos = now;
        pathTo(target).contact(now);
    }

    /**
     * Records that an exchange received further bytes over this instance's own path.
     *
     * @param receivingSinceNanos when the exchange received its first bytes
     */
    public void exchangeContinues(TargetAnnouncement target, long receivingSinceNanos) {
        contact(target);
        environment.restartEvidence().exchangeContinues(target, receivingSinceNanos);
    }

    /** Records that a connection to a target ended during an exchange, which may be caused by either end or between. */
    public void connectionLost(TargetAnnouncement target) {
        if (stalls.stalledLately()) {
            environment.restartEvidence().restartMayBeMissed(target);
        }
        probe(target);
    }

    /**
     * Records that a connection to a target could not be opened.
     *
     * @param waited time until the failure
     */
    public void connectionFailed(TargetAnnouncement target, Duration waited) {
        boolean confirm;
        boolean pathsLost;
        boolean refused;
        List<TargetAnnouncement> losses = List.of();
        synchronized (this) {
            long now = environment.clock().nanos();
            TargetPath path = pathTo(target);
            path.connectionFailed(waited, now);
            if (severalPathsFail()) {
                losses = presumeAllLost(path.connectionsHang(), now);
            }
            pathsLost = !losses.isEmpty();
            refused = !pathsLost && !path.connectionsHang();
            confirm = losses.isEmpty() && !path.needsSecondFailure(now);
        }
        if (refused) {
            environment.restartEvidence().connectionRefused(target);
        } else if (!pathsLost) {
            // The machine of the target may be down, or this instance was too slow to see the refusal in time.
            environment.restartEvidence().restartMayBeMissed(target);
        }
        if (confirm && !beginConfirmation(target)) {
            return;
        }
        if (!losses.isEmpty()) {
            reportCut(losses);
        } else if (confirm) {
            environment.otherCheck().accepts(target).thenAccept(reached -> confirmed(target, reached));
        } else {
            probe(target);
        }
    }

    private synchronized boolean beginConfirmation(TargetAnnouncement target) {
        return pathTo(target).beginConfirmation(environment.clock().nanos());
    }

    /** Returns whether connections to several targets failed since the last contact with any target. */
    private boolean severalPathsFail() {
        long failing = paths.values().stream()
                .filter(path -> path.failsSince(lastContactNanos))
                .count();
        return failing
                >= Math.min(
                        FAILING_TARGETS_OF_A_CUT, environment.targets().get().size());
    }

    private List<TargetAnnouncement> presumeAllLost(boolean connectionsHang, long now) {
        List<TargetAnnouncement> losses = environment.targets().get().stream()
                .filter(target -> !pathTo(target).isLost())
                .toList();
        losses.forEach(target -> pathTo(target).presumeLost(connectionsHang, now));
        return losses;
    }

    private void reportCut(List<TargetAnnouncement> losses) {
        boolean unresponsive;
        synchronized (this) {
            unresponsive = pathTo(losses.get(0)).isUnresponsive();
        }
        losses.forEach(target -> reportLoss(target, unresponsive));
        environment.cutListener().run();
        losses.forEach(this::probe);
    }

    private void reportLoss(TargetAnnouncement target, boolean unresponsive) {
        LOGGER.atWarning().log(
                "%s: target %s, connections %s",
                LogEvent.TARGET_PATH_LOST, target.id(), unresponsive ? "hang" : "are refused");
        environment.exchanges().pathLost(target, unresponsive);
    }

    private void confirmed(TargetAnnouncement target, boolean reachedByOthers) {
        boolean unresponsive;
        int lost;
        synchronized (this) {
            TargetPath path = pathTo(target);
            if (!path.confirmed(reachedByOthers, environment.clock().nanos())) {
                return;
            }
            unresponsive = path.isUnresponsive();
            lost = lostPaths();
        }
        reportLoss(target, unresponsive);
        if (lost == 1) {
            environment.targets().get().forEach(this::probe);
        }
    }

    private void check() {
        if (stopped) {
            return;
        }
        // Scheduled first, so that a failure of one check does not end the checks.
        environment.scheduler().schedule(CHECK_INTERVAL, this::check);
        Collection<TargetAnnouncement> targets = environment.targets().get();
        Map<TargetAnnouncement, Boolean> lost = new HashMap<>();
        List<TargetAnnouncement> due = new ArrayList<>();
        synchronized (this) {
            paths.keySet()
                    .retainAll(targets.stream().map(TargetAnnouncement::id).collect(Collectors.toSet()));
            for (TargetAnnouncement target : targets) {
                TargetPath path = pathTo(target);
                if (path.isLost()) {
                    lost.put(target, path.isUnresponsive());
                    due.add(target);
                }
            }
        }
        lost.forEach(environment.exchanges()::pathLost);
        due.addAll(suspiciousTargets(targets));
        due.forEach(this::probe);
    }

    /** Returns the targets to probe: those that exchanges wait for, or random ones if there was no contact at all. */
    private List<TargetAnnouncement> suspiciousTargets(Collection<TargetAnnouncement> targets) {
        Collection<TargetId> waiting = environment.exchanges().waitingFor(SUSPICIOUS_SILENCE);
        synchronized (this) {
            long now = environment.clock().nanos();
            List<TargetAnnouncement> usable = targets.stream()
                    .filter(target -> !pathTo(target).isLost() && !target.leaving())
                    .toList();
            List<TargetAnnouncement> suspicious = usable.stream()
                    .filter(target -> waiting.contains(target.id()))
                    .filter(target -> pathTo(target).timeSinceContact(now).compareTo(SUSPICIOUS_SILENCE) >= 0)
                    .limit(PROBES_PER_CHECK)
                    .toList();
            boolean idle = now - lastContactNanos >= IDLE_TIME.toNanos();
            return suspicious.isEmpty() && idle ? randomTargets(usable) : suspicious;
        }
    }

    /** Returns as many random targets as have to fail before the instance counts as cut. */
    private List<TargetAnnouncement> randomTargets(List<TargetAnnouncement> usable) {
        List<TargetAnnouncement> remaining = new ArrayList<>(usable);
        List<TargetAnnouncement> chosen = new ArrayList<>();
        while (!remaining.isEmpty() && chosen.size() < FAILING_TARGETS_OF_A_CUT) {
            chosen.add(remaining.remove(environment.random().nextInt(remaining.size())));
        }
        return chosen;
    }

    private void probe(TargetAnnouncement target) {
        long startNanos;
        synchronized (this) {
            startNanos = environment.clock().nanos();
            if (!pathTo(target).beginProbe(startNanos)) {
                return;
            }
        }
        environment.ownCheck().accepts(target).thenAccept(accepted -> {
            if (accepted) {
                probeSucceeded(target);
            } else {
                probeFailed(target, Duration.ofNanos(environment.clock().nanos() - startNanos));
            }
        });
    }

    private void probeSucceeded(TargetAnnouncement target) {
        boolean returned;
        int lost;
        synchronized (this) {
            long now = environment.clock().nanos();
            lastContactNanos = now;
            returned = pathTo(target).probeSucceeded(now);
            lost = lostPaths();
        }
        if (returned) {
            LOGGER.atInfo().log("%s: target %s, %d paths lost", LogEvent.TARGET_PATH_RETURNED, target.id(), lost);
        }
    }

    private void probeFailed(TargetAnnouncement target, Duration waited) {
        boolean lost;
        synchronized (this) {
            TargetPath path = pathTo(target);
            path.probeFailed(environment.clock().nanos());
            lost = path.isLost();
        }
        if (!lost) {
            connectionFailed(target, waited);
        }
    }

    private TargetPath pathTo(TargetAnnouncement target) {
        return paths.computeIfAbsent(
                target.id(), id -> new TargetPath(environment.clock().nanos()));
    }
}
