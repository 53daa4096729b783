package org.basilrill.coordination.routing;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.IdentityHashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.routing.RecoveryPace.Reason;
import org.basilrill.coordination.routing.TargetState.HealthChange;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetChangeListener;

/**
 * Paces the requests to targets that have just started or were ejected. All instances would find such a target empty at
 * once and flood it; a pace lets the requests grow with the good responses instead, and also decides when an ejected
 * target is probed. Thread safe: guarded by its own lock, which is not held while listeners are called.
 */
public final class RecoveryPaces implements TargetChangeListener {
    /** Time for which an instance has its places; well below the 403 ms in which a first event is due. */
    static final long TURN_MILLIS = 100;
    /** Targets that an instance learns of in this time after its start are not new: it has only not known them. */
    static final Duration START_PERIOD = Duration.ofSeconds(10);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Instances join and leave seldom, and counting them costs more than the choice of a target. */
    private static final Duration TURNS_VALIDITY = Duration.ofMillis(500);
    /** A response is slow if its first byte takes longer than this multiple of the median of the other targets. */
    private static final double SLOW_FACTOR = 2;
    /** Added to that, because first bytes of fast services vary by a few milliseconds without a reason. */
    private static final double SLOW_SLACK_NANOS = Duration.ofMillis(50).toNanos();
    /** Targets whose incarnations are remembered, also after their announcements expired. */
    private static final int MAXIMUM_TARGETS = 4096;

    private static final double NANOS_PER_MILLI = 1e6;

    private final Environment environment;
    private final long createdNanos;
    private final Map<TargetId, RecoveryPace> paces = new HashMap<>();
    private final FirstByteTimes firstByteTimes = new FirstByteTimes();
    /** Times to the first byte of requests whose responses have begun. */
    private final Map<AcquiredSlot, Double> begun = new IdentityHashMap<>();

    private final Map<TargetId, Long> incarnations = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Long> eldest) {
            return size() > MAXIMUM_TARGETS;
        }
    };

    private Optional<PlaceTurns> turns = Optional.empty();
    private long turnsNanos;
    private boolean turnScheduled;
    /** Spares the lock for each choice of a target while none is paced, which is usual. */
    private volatile boolean anyPace;

    /** Creates paces; no target is paced. */
    public RecoveryPaces(Environment environment) {
        this.environment = environment;
        this.createdNanos = environment.clock().nanos();
    }

    /**
     * The dependencies of the paces.
     *
     * @param instances all instances that are not suspected, this one included, in any order
     * @param wallClockMillis counts the turns; a clock that is wrong costs the agreement on turns, no more
     * @param prefillTokensPerMilli prompt tokens that an engine reads per millisecond
     * @param changed is called when requests may be sent to a target that had no place
     * @param listener is notified of paces that begin and end
     */
    public record Environment(
            InstanceId self,
            Supplier<List<InstanceId>> instances,
            LongSupplier wallClockMillis,
            double prefillTokensPerMilli,
            Consumer<TargetId> changed,
            Listener listener,
            MonotonicClock clock,
            Scheduler scheduler) {}

    /** Is notified of paces; called without a lock. */
    public interface Listener {
        /** A target is paced, for a reason in lower case. */
        void began(TargetId target, String reason);

        /** A target is no longer paced. */
        void ended(TargetId target, String reason);
    }

    @Override
    public void changed(Change change) {
        TargetAnnouncement target = change.announcement();
        if (change.kind() == Kind.EXPIRED) {
            synchronized (this) {
                firstByteTimes.remove(target.id());
            }
            end(target.id());
            return;
        }
        boolean started;
        synchronized (this) {
            Long known = incarnations.get(target.id());
            boolean instanceStarting = environment.clock().nanos() - createdNanos < START_PERIOD.toNanos();
            started = known == null ? !instanceStarting : target.incarnation() > known;
            incarnations.merge(target.id(), target.incarnation(), Math::max);
        }
        if (started) {
            begin(target, Reason.STARTED);
        }
    }

    /** Returns how many requests this instance may have at the target now; empty if the target is not paced. */
    public Optional<Integer> slotLimit(TargetAnnouncement target) {
        if (!anyPace) {
            return Optional.empty();
        }
        synchronized (this) {
            return paceOf(target).map(pace -> share(target.id(), pace, turn()));
        }
    }

    /** Records the time to the first byte of a response. */
    void responseStarted(AcquiredSlot slot) {
        long now = environment.clock().nanos();
        boolean recovered;
        synchronized (this) {
            double readingNanos = slot.pendingTokens() / environment.prefillTokensPerMilli() * NANOS_PER_MILLI;
            double nanos = Math.max(0, now - slot.sentNanos() - readingNanos);
            begun.put(slot, nanos);
            Optional<RecoveryPace> pace = paceOf(slot.target());
            if (pace.isEmpty()) {
                return;
            }
            if (isSlow(slot.target(), nanos)) {
                logIfTurned(slot, pace.get(), pace.get().slow(slot.sentNanos(), now));
                return;
            }
            recovered = pace.get().good(slot.sentNanos());
        }
        if (recovered) {
            end(slot.target().id());
        }
    }

    /** Records the end of a request, and what it showed about the health of the target. */
    void released(AcquiredSlot slot, SlotResult result, HealthChange change) {
        long now = environment.clock().nanos();
        synchronized (this) {
            Double nanos = begun.remove(slot);
            if (result == SlotResult.SUCCEEDED && nanos != null) {
                firstByteTimes.add(slot.target(), nanos);
            }
            Optional<RecoveryPace> pace = paceOf(slot.target());
            long turnsAgo =
                    (now - slot.sentNanos()) / Duration.ofMillis(TURN_MILLIS).toNanos();
            pace.ifPresent(present -> present.used(turn() - turnsAgo));
            if (pace.isPresent() && (result == SlotResult.FAILED || result == SlotResult.TIMED_OUT)) {
                logIfTurned(slot, pace.get(), pace.get().failed(slot.sentNanos(), now));
            } else if (pace.isPresent() && result == SlotResult.REFUSED_FULL) {
                logIfTurned(slot, pace.get(), pace.get().slow(slot.sentNanos(), now));
            }
        }
        if (change == HealthChange.EJECTED) {
            begin(slot.target(), Reason.EJECTED);
        }
    }

    /** Returns the pace of a target as a fraction of that of a recovered one; 1 if it is not paced. */
    public synchronized double pace(TargetId target) {
        return Optional.ofNullable(paces.get(target))
                .map(RecoveryPace::fraction)
                .orElse(1.0);
    }

    private boolean isSlow(TargetAnnouncement target, double nanos) {
        OptionalDouble median = firstByteTimes.medianOfOthers(target, other -> !paces.containsKey(other));
        return median.isPresent() && nanos > SLOW_FACTOR * median.getAsDouble() + SLOW_SLACK_NANOS;
    }

    private void logIfTurned(AcquiredSlot slot, RecoveryPace pace, boolean turned) {
        if (turned) {
            LOGGER.atInfo().log(
                    "%s: target %s, %d places",
                    LogEvent.TARGET_PACE_REDUCED, slot.target().id(), pace.places());
        }
    }

    private void begin(TargetAnnouncement target, Reason reason) {
        synchronized (this) {
            if (paceOf(target).isPresent()) {
                return;
            }
        }
        end(target.id());
        synchronized (this) {
            int instances = environment.instances().get().size();
            RecoveryPace pace = new RecoveryPace(
                    target.incarnation(),
                    reason,
                    target.slots(),
                    instances,
                    environment.clock().nanos());
            paces.put(target.id(), pace);
            anyPace = true;
            scheduleTurn();
            LOGGER.atInfo().log(
                    "%s: target %s, %s, %d of %d slots among %d instances",
                    LogEvent.TARGET_PACED, target.id(), nameOf(reason), pace.places(), target.slots(), instances);
        }
        environment.listener().began(target.id(), nameOf(reason));
    }

    private void end(TargetId target) {
        RecoveryPace ended;
        synchronized (this) {
            ended = paces.remove(target);
            anyPace = !paces.isEmpty();
        }
        if (ended != null) {
            LOGGER.atInfo().log(
                    "%s: target %s, %d good responses here", LogEvent.TARGET_PACE_ENDED, target, ended.goodResponses());
            environment.listener().ended(target, nameOf(ended.reason()));
            environment.changed().accept(target);
        }
    }

    /** Notifies of the targets at which this instance has a place again, at the beginning of each turn. */
    private void scheduleTurn() {
        if (turnScheduled) {
            return;
        }
        turnScheduled = true;
        long millis = TURN_MILLIS - Math.floorMod(environment.wallClockMillis().getAsLong(), TURN_MILLIS);
        environment.scheduler().schedule(Duration.ofMillis(millis), () -> {
            List<TargetId> usable = new ArrayList<>();
            synchronized (this) {
                turnScheduled = false;
                long turn = turn();
                paces.forEach((target, pace) -> {
                    if (share(target, pace, turn) > 0) {
                        usable.add(target);
                    }
                });
                if (!paces.isEmpty()) {
                    scheduleTurn();
                }
            }
            usable.forEach(environment.changed());
        });
    }

    private int share(TargetId target, RecoveryPace pace, long turn) {
        long now = environment.clock().nanos();
        if (turns.isEmpty() || now - turnsNanos >= TURNS_VALIDITY.toNanos()) {
            turns = Optional.of(
                    PlaceTurns.of(environment.self(), environment.instances().get()));
            turnsNanos = now;
        }
        return turns.get().heldShare(target, pace.places(), turn, pace.usedTurn());
    }

    private long turn() {
        return Math.floorDiv(environment.wallClockMillis().getAsLong(), TURN_MILLIS);
    }

    private Optional<RecoveryPace> paceOf(TargetAnnouncement target) {
        return Optional.ofNullable(paces.get(target.id())).filter(pace -> pace.incarnation() == target.incarnation());
    }

    private static String nameOf(Reason reason) {
        return reason == Reason.STARTED ? "started" : "ejected";
    }
}
