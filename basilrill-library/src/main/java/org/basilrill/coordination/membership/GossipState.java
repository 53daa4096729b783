package org.basilrill.coordination.membership;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.GossipMessage.DigestEntry;
import org.basilrill.coordination.membership.GossipMessage.OwnerDelta;

/**
 * The facts of all instances, reconciled by version per owner. Only the owner raises its version. A delta is applied
 * only if it leaves no gap after the known version, so no item of a lower version is ever missed. Thread safe: one lock
 * guards all owners, because an exchange reads them together.
 */
final class GossipState {
    /** Keeps a message below 64 KiB with items of a few hundred bytes; further items follow in the next exchange. */
    private static final int MAXIMUM_ITEMS_PER_MESSAGE = 128;

    /** Urgent messages repeat the changes of as many periods, in which the periodic exchange reaches nearly all. */
    private static final int REPEATED_PERIODS = 5;

    /** Urgent messages repeat at least as many versions, so that members that lag by a few can apply them too. */
    private static final int REPEATED_VERSIONS = 16;

    private final InstanceId self;
    /** Own versions at the beginning of the last periods, the oldest first. */
    private final Deque<Long> periodVersions = new ArrayDeque<>();

    private final Map<InstanceId, OwnerState> owners = new TreeMap<>();
    /** Last version of removed owners, so that a late delta of another instance does not restore them. */
    private final Map<InstanceId, DigestEntry> removed = new HashMap<>();

    GossipState(InstanceId self, long incarnation, long nowNanos) {
        this.self = self;
        owners.put(self, new OwnerState(self, incarnation, nowNanos));
    }

    synchronized void publish(Fact fact) {
        own().put(fact);
    }

    synchronized void advance(long nowNanos) {
        own().advance(nowNanos);
        periodVersions.addLast(own().version());
        if (periodVersions.size() > REPEATED_PERIODS) {
            periodVersions.removeFirst();
        }
    }

    synchronized List<DigestEntry> digest() {
        return owners.entrySet().stream()
                .map(entry -> new DigestEntry(
                        entry.getKey(),
                        entry.getValue().incarnation(),
                        entry.getValue().version()))
                .toList();
    }

    /** Returns the changes that a peer with this digest lacks. */
    synchronized List<OwnerDelta> deltasFor(List<DigestEntry> peerDigest, long nowNanos) {
        Map<InstanceId, DigestEntry> known = new HashMap<>();
        peerDigest.forEach(entry -> known.put(entry.owner(), entry));
        List<OwnerDelta> deltas = new ArrayList<>();
        int remaining = MAXIMUM_ITEMS_PER_MESSAGE;
        for (Map.Entry<InstanceId, OwnerState> entry : owners.entrySet()) {
            if (remaining <= 0) {
                break;
            }
            Optional<OwnerDelta> delta =
                    deltaFor(entry.getValue(), known.get(entry.getKey()), remaining, ageMillis(entry, nowNanos));
            if (delta.isPresent()) {
                deltas.add(delta.get());
                remaining -= delta.get().items().size();
            }
        }
        return deltas;
    }

    /** Returns the changes of this instance after a version. */
    synchronized OwnerDelta ownDeltaAfter(long version) {
        return own().deltaAfter(version, MAXIMUM_ITEMS_PER_MESSAGE, 0);
    }

    /**
     * Returns the changes of this instance after a version, with those before it that other members may lack. A member
     * that lacks one of a version in between cannot apply the delta.
     */
    synchronized OwnerDelta urgentDeltaAfter(long version) {
        long repeated = Math.max(0, version - REPEATED_VERSIONS);
        long periods = periodVersions.isEmpty() ? 0 : periodVersions.getFirst();
        OwnerDelta complete = own().deltaAfter(Math.min(repeated, periods), Integer.MAX_VALUE, 0);
        return complete.items().size() <= MAXIMUM_ITEMS_PER_MESSAGE
                ? complete
                : own().deltaAfter(repeated, MAXIMUM_ITEMS_PER_MESSAGE, 0);
    }

    synchronized long ownVersion() {
        return own().version();
    }

    /** Applies deltas; returns the facts that were new, by owner. */
    synchronized Map<InstanceId, List<Fact>> apply(List<OwnerDelta> deltas, long nowNanos) {
        Map<InstanceId, List<Fact>> newFacts = new TreeMap<>();
        for (OwnerDelta delta : deltas) {
            if (delta.owner().equals(self) || isStale(delta)) {
                continue;
            }
            List<Fact> facts = stateFor(delta, nowNanos).apply(delta, nowNanos);
            if (!facts.isEmpty()) {
                newFacts.put(delta.owner(), facts);
            }
        }
        return newFacts;
    }

    /**
     * Raises this instance's incarnation above one that others know from an earlier run, so that they accept the facts
     * of this run.
     */
    synchronized void raiseIncarnationAbove(List<DigestEntry> peerDigest, long nowNanos) {
        for (DigestEntry entry : peerDigest) {
            if (!entry.owner().equals(self)) {
                continue;
            }
            OwnerState own = own();
            boolean fromEarlierRun = entry.incarnation() > own.incarnation()
                    || (entry.incarnation() == own.incarnation() && entry.version() > own.version());
            if (fromEarlierRun) {
                OwnerState next = new OwnerState(self, entry.incarnation() + 1, nowNanos);
                next.copyFactsFrom(own);
                owners.put(self, next);
                periodVersions.clear();
            }
        }
    }

    synchronized void remove(InstanceId owner) {
        OwnerState state = owners.remove(owner);
        if (state != null) {
            removed.put(owner, new DigestEntry(owner, state.incarnation(), state.version()));
        }
    }

    /** Returns a snapshot of the times at which the versions of all owners last advanced. */
    synchronized Map<InstanceId, Long> lastAdvances() {
        Map<InstanceId, Long> advances = new TreeMap<>();
        owners.forEach((owner, state) -> advances.put(owner, state.advancedAtNanos()));
        return advances;
    }

    /** Returns when the version of an owner last advanced, if the owner is known. */
    synchronized Optional<Long> lastAdvance(InstanceId owner) {
        return Optional.ofNullable(owners.get(owner)).map(OwnerState::advancedAtNanos);
    }

    /** Returns how many owners are known, this instance included. */
    synchronized int size() {
        return owners.size();
    }

    synchronized <T extends Fact> Optional<T> fact(InstanceId owner, Class<T> type) {
        return Optional.ofNullable(owners.get(owner)).flatMap(state -> state.fact(type));
    }

    synchronized <T extends Fact> List<T> facts(InstanceId owner, Class<T> type) {
        return Optional.ofNullable(owners.get(owner))
                .map(state -> state.facts(type).toList())
                .orElse(List.of());
    }

    private long ageMillis(Map.Entry<InstanceId, OwnerState> entry, long nowNanos) {
        boolean own = entry.getKey().equals(self);
        return own
                ? 0
                : TimeUnit.NANOSECONDS.toMillis(nowNanos - entry.getValue().advancedAtNanos());
    }

    private OwnerState own() {
        return owners.get(self);
    }

    private Optional<OwnerDelta> deltaFor(OwnerState state, DigestEntry known, int maximumItems, long ageMillis) {
        if (known == null || known.incarnation() < state.incarnation()) {
            return Optional.of(state.deltaAfter(0, maximumItems, ageMillis));
        }
        if (known.incarnation() > state.incarnation() || known.version() >= state.version()) {
            return Optional.empty();
        }
        return Optional.of(state.deltaAfter(known.version(), maximumItems, ageMillis));
    }

    private boolean isStale(OwnerDelta delta) {
        DigestEntry last = removed.get(delta.owner());
        if (last != null) {
            boolean seen = delta.incarnation() < last.incarnation()
                    || (delta.incarnation() == last.incarnation() && delta.toVersion() <= last.version());
            if (seen) {
                return true;
            }
            removed.remove(delta.owner());
        }
        OwnerState currentState = owners.get(delta.owner());
        return currentState != null && currentState.incarnation() > delta.incarnation();
    }

    private OwnerState stateFor(OwnerDelta delta, long nowNanos) {
        OwnerState currentState = owners.get(delta.owner());
        if (currentState != null && currentState.incarnation() == delta.incarnation()) {
            return currentState;
        }
        long lastAdvanceNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(Math.max(0, delta.ageMillis()));
        OwnerState fresh = new OwnerState(delta.owner(), delta.incarnation(), lastAdvanceNanos);
        owners.put(delta.owner(), fresh);
        return fresh;
    }
}
