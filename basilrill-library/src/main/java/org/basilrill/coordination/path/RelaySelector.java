package org.basilrill.coordination.path;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.state.configuration.Residency;

/**
 * Chooses the instance that carries an exchange to a target which this instance does not reach: the less loaded of two
 * random ones that reach the targets, where load in another data centre weighs more. Thread safe.
 */
public final class RelaySelector {
    /** Added to the load, so that a distant instance without load is not preferred to a near one with a little. */
    private static final int LOAD_OFFSET = 4;
    /** Factor by which the load of an instance in another data centre is multiplied. */
    private static final double DISTANT_FACTOR = 2;

    /** A relay that could not be reached, or has started again, is known to the membership soon after. */
    private static final Duration FAILURE_PAUSE = Duration.ofSeconds(1);

    private final InstanceId self;
    private final String dataCentre;
    private final Membership membership;
    private final MonotonicClock clock;
    private final RandomGenerator random;
    /** Exchanges that each instance carries for this one; the load that it publishes lags behind. */
    private final Map<InstanceId, Integer> carried = new ConcurrentHashMap<>();

    private final Map<InstanceId, Long> lastFailureNanos = new ConcurrentHashMap<>();

    /**
     * Creates a selector.
     *
     * @param random used only under the lock of the selector
     */
    public RelaySelector(
            InstanceId self, String dataCentre, Membership membership, MonotonicClock clock, RandomGenerator random) {
        this.self = self;
        this.dataCentre = dataCentre;
        this.membership = membership;
        this.clock = clock;
        this.random = random;
    }

    /** Returns an instance that can probably check a target, other than the excluded ones. */
    public Optional<Member> choose(Set<InstanceId> excluded) {
        return choose(excluded, Residency.EVERYWHERE);
    }

    /** Returns an instance that can probably carry an exchange, in an allowed data centre. */
    public Optional<Member> choose(Set<InstanceId> excluded, Residency residency) {
        List<Member> usable = new ArrayList<>();
        for (Member member : membership.members()) {
            if (isUsable(member) && !excluded.contains(member.id()) && residency.allows(member.dataCentre())) {
                usable.add(member);
            }
        }
        if (usable.size() < 2) {
            return usable.stream().findFirst();
        }
        int first;
        int second;
        synchronized (random) {
            first = random.nextInt(usable.size());
            second = random.nextInt(usable.size() - 1);
        }
        Member one = usable.get(first);
        Member other = usable.get(second >= first ? second + 1 : second);
        return Optional.of(score(one) <= score(other) ? one : other);
    }

    /** Records that the instance carries an exchange; must be followed by one call of {@link #ended}. */
    public void started(InstanceId relay) {
        carried.merge(relay, 1, Integer::sum);
    }

    /** Records that the instance no longer carries an exchange. */
    public void ended(InstanceId relay) {
        carried.computeIfPresent(relay, (id, count) -> count == 1 ? null : count - 1);
    }

    /** Records that an instance could not carry an exchange; it is not chosen for a while. */
    public void failed(InstanceId relay) {
        lastFailureNanos.put(relay, clock.nanos());
    }

    /** Returns how many exchanges each instance carries for this one. */
    public Map<InstanceId, Integer> carriedByInstance() {
        return Map.copyOf(carried);
    }

    private boolean isUsable(Member member) {
        return !member.id().equals(self)
                && member.relay().isPresent()
                && !member.suspected()
                && !member.draining()
                && !member.cutFromTargets()
                && !hasFailedRecently(member.id());
    }

    private boolean hasFailedRecently(InstanceId relay) {
        Long failure = lastFailureNanos.get(relay);
        return failure != null && clock.nanos() - failure < FAILURE_PAUSE.toNanos();
    }

    private double score(Member member) {
        double load = Math.max(member.requestsInFlight(), carried.getOrDefault(member.id(), 0)) + LOAD_OFFSET;
        return member.dataCentre().equals(dataCentre) ? load : load * DISTANT_FACTOR;
    }
}
