package org.basilrill.coordination.membership;

import java.util.List;
import java.util.SortedSet;
import java.util.TreeSet;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.Membership.Member;

/**
 * The instances that hold a replica of the control log, as far as this one knows. The seeds alone are not enough: an
 * instance that joined later may lead the log. Thread safe.
 */
public final class ReplicaHolders {
    private final Membership membership;
    private volatile List<InstanceId> seeds;

    /** Creates the set; until others are known it consists of the seeds. */
    public ReplicaHolders(Membership membership, List<InstanceId> seeds) {
        this.membership = membership;
        this.seeds = List.copyOf(seeds);
    }

    /** Takes other seeds in place of the earlier ones. */
    public void learnSeeds(List<InstanceId> changed) {
        seeds = List.copyOf(changed);
    }

    /** Returns the instances that are known to hold a replica and were heard of lately. */
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

    /** Returns all instances that may hold a replica: one that is silent here may still lead the log. */
    public SortedSet<InstanceId> all() {
        SortedSet<InstanceId> holders = new TreeSet<>(seeds);
        membership.members().stream().filter(Member::replica).map(Member::id).forEach(holders::add);
        return holders;
    }
}
