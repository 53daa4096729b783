package org.basilrill.coordination.evacuation;

import java.time.Duration;
import java.util.Set;
import java.util.TreeSet;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.state.target.TargetDirectory;

/**
 * The data centres that an evacuation may name: those of the settings, and those of all members and targets seen since
 * the start. They are kept when the last member and target is gone, so that a call that is sent again is not refused.
 * Thread safe: guarded by its own lock.
 */
public final class KnownDataCentres {
    /** Time after the start until the members and targets are known: ten periods of the membership exchange. */
    static final Duration LEARNING_TIME = Duration.ofSeconds(5);

    /** Bounds the memory; targets state the names. */
    private static final int MAXIMUM_NAMES = 1024;

    private final Membership membership;
    private final TargetDirectory targets;
    private final MonotonicClock clock;
    private final long startNanos;
    private final Set<String> names;

    /**
     * Creates the data centres known at the start of an instance.
     *
     * @param configured data centres of the settings
     */
    public KnownDataCentres(
            Set<String> configured, Membership membership, TargetDirectory targets, MonotonicClock clock) {
        this.membership = membership;
        this.targets = targets;
        this.clock = clock;
        names = new TreeSet<>(configured);
        startNanos = clock.nanos();
    }

    /** Remembers the data centres of the present members and targets. Called once per period. */
    public synchronized void observe() {
        membership.members().forEach(member -> add(member.dataCentre()));
        targets.targets().forEach(target -> add(target.dataCentre()));
    }

    /** Returns whether the data centre is known. */
    public synchronized boolean contains(String dataCentre) {
        if (!names.contains(dataCentre)) {
            observe();
        }
        return names.contains(dataCentre);
    }

    /** Returns whether this instance runs long enough that a data centre that it does not know does not exist. */
    public boolean isComplete() {
        return clock.nanos() - startNanos >= LEARNING_TIME.toNanos();
    }

    private void add(String dataCentre) {
        if (names.size() < MAXIMUM_NAMES) {
            names.add(dataCentre);
        }
    }
}
