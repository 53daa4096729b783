package org.basilrill.state.target;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.TargetId;

/**
 * The targets announced at each address, and which of them started last. Addresses are kept without limit, as targets
 * return to them. Thread safe: one lock guards all addresses.
 */
final class TargetAddresses {
    private final Map<Address, Occupants> occupants = new HashMap<>();

    /**
     * Records an announcement; returns the other targets that were announced at its address and have ended, as another
     * one started later. The returned targets may have moved to another address since.
     */
    synchronized List<TargetId> endedBy(TargetAnnouncement announcement) {
        Occupants here = occupants.computeIfAbsent(Address.of(announcement), unused -> new Occupants(announcement));
        if (announcement.incarnation() >= here.latestIncarnation) {
            here.latest = announcement.id();
            here.latestIncarnation = announcement.incarnation();
        }
        here.targets.add(announcement.id());
        if (here.targets.size() == 1) {
            return List.of();
        }
        List<TargetId> ended = new ArrayList<>(here.targets);
        ended.remove(here.latest);
        here.targets.retainAll(Set.of(here.latest));
        return ended;
    }

    /** Returns whether two targets are reached at the same address. */
    static boolean areEqual(TargetAnnouncement one, TargetAnnouncement other) {
        return Address.of(one).equals(Address.of(other));
    }

    /** Address at which a target is reached. */
    private record Address(String host, int port) {
        static Address of(TargetAnnouncement target) {
            return new Address(target.host(), target.port());
        }
    }

    /** The targets at one address that are not known to have ended. */
    private static final class Occupants {
        private final Set<TargetId> targets = new HashSet<>();
        private TargetId latest;
        private long latestIncarnation;

        Occupants(TargetAnnouncement first) {
            latest = first.id();
            latestIncarnation = first.incarnation();
        }
    }
}
