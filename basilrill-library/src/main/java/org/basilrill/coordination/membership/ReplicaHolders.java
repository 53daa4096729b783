package org.basilrill.coordination.membership;

import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.Membership.Member;

/**
 * The instances known to hold a replica of the control log. The seeds alone are not sufficient: an instance that joined
 * later may lead the log. Thread safe.
 */
public final class ReplicaHolders {
    private final Membership membership;
    private volatile List<InstanceId> seeds;

    /** Creates the set, which consists of the seeds until other holders are known. */
    public ReplicaHolders(Membership membership, List<InstanceId> seeds) {
        this.membership = membership;
        this.seeds = List.copyOf(seeds);
    }

    /** Replaces the seeds. */
    public void updateSeeds(List<InstanceId> changed) {
        seeds = List.copyOf(changed);
    }

    /** Returns the instances that are known to hold a replica and are not suspected. */
    public List<InstanceId> reachable() {
        return membership.members().stream()
                .filter(member -> member.replica() && !member.suspected())
                .map(Member::id)
                .toList();
    }

    /** Returns whether the instance is known to hold a replica. */
    public boolean contains(InstanceId instance) {
        return membership.member(instance).filter(Member::replica).isPresent();
    }

    /**
     * Returns all instances that may hold a replica, including suspected ones: a replica unreachable from here may
     * still lead the log.
     */
    public SortedSet<InstanceId> all() {
        SortedSet<InstanceId> holders = new TreeSet<>(seeds);
        membership.members().stream().filter(Member::replica).map(Member::id).forEach(holders::add);
        return holders;
    }
}
