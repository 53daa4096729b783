package org.basilrill.coordination.routing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;
import org.basilrill.state.target.TargetNotices;
import org.basilrill.state.target.TargetRegistry;

/**
 * Restricts the requests that this instance sends to a target to what the target has stated in its responses, and to
 * targets outside evacuated data centres.
 *
 * <p>A target that states that it is leaving gets no further request for as long as its incarnation lasts, whatever it
 * announces: its announcements may be older than the response. A target that refuses a request and names a time gets
 * none until that time has passed. Targets that fail when they refuse too many requests get no more than this
 * instance's share of their slots.
 *
 * <p>Thread safe: guarded by its own lock.
 */
public final class TargetRestrictions {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Targets that are remembered. An expired announcement is no reason to forget one, as it may be renewed. */
    private static final int MAXIMUM_TARGETS = 4096;

    private final FragileServices fragileServices;
    private volatile Set<String> evacuatedDataCentres = Set.of();
    private final MonotonicClock clock;
    private volatile Optional<RecoveryPaces> paces = Optional.empty();
    private final Map<TargetId, Restriction> restrictions = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Restriction> eldest) {
            return size() > MAXIMUM_TARGETS;
        }
    };

    /**
     * Creates restrictions for targets that have stated nothing.
     *
     * @param instances all known instances, this one included, in any order
     */
    public TargetRestrictions(
            InstanceId self, Supplier<List<InstanceId>> instances, TargetDirectory directory, MonotonicClock clock) {
        this.fragileServices = new FragileServices(self, instances, directory, this::isEvacuated, clock);
        this.clock = clock;
    }

    /** Returns restrictions of an instance that shares its targets with no other one. */
    public static TargetRestrictions none(InstanceId self, MonotonicClock clock) {
        return new TargetRestrictions(self, () -> List.of(self), new TargetRegistry(clock), clock);
    }

    /** Replaces the data centres whose targets get no requests. */
    public void updateEvacuated(Set<String> dataCentres) {
        evacuatedDataCentres = Set.copyOf(dataCentres);
    }

    /** Returns whether there are data centres whose targets get no requests. */
    public boolean hasEvacuated() {
        return !evacuatedDataCentres.isEmpty();
    }

    /** Returns whether the target is in a data centre whose targets get no requests. */
    public boolean isEvacuated(TargetAnnouncement target) {
        return evacuatedDataCentres.contains(target.dataCentre());
    }

    /** Returns the targets outside evacuated data centres. */
    public Collection<TargetAnnouncement> withoutEvacuated(Collection<TargetAnnouncement> targets) {
        return evacuatedDataCentres.isEmpty()
                ? targets
                : targets.stream().filter(target -> !isEvacuated(target)).toList();
    }

    /** Records what a response of the target states. */
    public void observe(TargetAnnouncement target, TargetNotices notices) {
        notices.pause().ifPresent(pause -> pauseFor(target, pause));
        observeRefusalLimit(target, notices);
        if (notices.leaving()) {
            leaves(target);
        }
    }

    private void observeRefusalLimit(TargetAnnouncement target, TargetNotices notices) {
        synchronized (this) {
            boolean changed = fragileServices.observe(target, notices.refusalLimit());
            if (notices.refused() && notices.refusalLimit().isPresent()) {
                pauseFor(target, fragileServices.pauseAfterRefusal(target));
            }
            if (!changed) {
                return;
            }
        }
        LOGGER.atWarning().log(
                "%s: service %s, %s",
                notices.refusalLimit().isPresent() ? LogEvent.SERVICE_FRAGILE : LogEvent.SERVICE_NO_LONGER_FRAGILE,
                target.service().orElse(""),
                notices.refusalLimit()
                        .map(limit -> limit + " refusals a second")
                        .orElse("any number of refusals"));
    }

    private synchronized void pauseFor(TargetAnnouncement target, Duration pause) {
        restrictionOf(target).ifPresent(known -> known.pauseUntil(clock.nanos() + pause.toNanos()));
    }

    private void leaves(TargetAnnouncement target) {
        synchronized (this) {
            Optional<Restriction> known = restrictionOf(target).filter(restriction -> !restriction.leaving);
            if (known.isEmpty()) {
                return;
            }
            known.get().leaving = true;
        }
        LOGGER.atInfo().log("%s: target %s", LogEvent.TARGET_STATED_LEAVING, target.id());
    }

    /** Sets the paces of recovering targets; without them, such targets are used like all others. */
    public void usePaces(RecoveryPaces recoveryPaces) {
        paces = Optional.of(recoveryPaces);
    }

    /** Returns the paces of recovering targets, if they are used. */
    Optional<RecoveryPaces> paces() {
        return paces;
    }

    /** Returns how many requests this instance may have at the target at once; empty if it may use any free slot. */
    public Optional<Integer> slotLimit(TargetAnnouncement target) {
        Optional<Integer> paced = paces.flatMap(present -> present.slotLimit(target));
        Optional<Integer> ofService;
        synchronized (this) {
            ofService = fragileServices.slotLimit(target);
        }
        return paced.map(limit -> Math.min(limit, ofService.orElse(limit))).or(() -> ofService);
    }

    /** Returns whether the target accepts requests from this instance at present. */
    public synchronized boolean accepts(TargetAnnouncement target) {
        return !isEvacuated(target)
                && !isLeaving(target)
                && remainingPause(target).isEmpty();
    }

    /** Returns whether the target has stated that it is leaving. */
    public synchronized boolean isLeaving(TargetAnnouncement target) {
        Restriction known = restrictions.get(target.id());
        return known != null && known.incarnation == target.incarnation() && known.leaving;
    }

    /** Returns how long the target wants no request from this instance yet; empty if it wants some. */
    public synchronized Optional<Duration> remainingPause(TargetAnnouncement target) {
        Restriction known = restrictions.get(target.id());
        if (known == null || known.incarnation != target.incarnation() || !known.paused) {
            return Optional.empty();
        }
        Duration remaining = Duration.ofNanos(known.pauseEndNanos - clock.nanos());
        return Optional.of(remaining).filter(left -> !left.isNegative() && !left.isZero());
    }

    /** Returns the restriction of an incarnation, a new one if needed; empty if a later incarnation is known. */
    private Optional<Restriction> restrictionOf(TargetAnnouncement target) {
        Restriction known = restrictions.get(target.id());
        if (known == null || known.incarnation < target.incarnation()) {
            known = new Restriction(target.incarnation());
            restrictions.put(target.id(), known);
        }
        return Optional.of(known).filter(restriction -> restriction.incarnation == target.incarnation());
    }

    /** What one incarnation of a target has stated; guarded by the lock of the owner. */
    private static final class Restriction {
        private final long incarnation;
        private boolean leaving;
        private boolean paused;
        private long pauseEndNanos;

        Restriction(long incarnation) {
            this.incarnation = incarnation;
        }

        /** Begins or extends the pause; a response that crossed a later one does not end it sooner. */
        void pauseUntil(long nanos) {
            pauseEndNanos = paused && pauseEndNanos - nanos > 0 ? pauseEndNanos : nanos;
            paused = true;
        }
    }
}
