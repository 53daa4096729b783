package org.basilrill.coordination.budget;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.Predicate;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;

/**
 * Ranks the instances that may own the bucket of an account. Instances without a replica of the control log rank first:
 * an owner that is lost together with replicas cannot be replaced before the log has a leader again. Immutable and
 * thread safe.
 *
 * @param holdsReplica whether an instance is known to hold a replica; thread safe
 */
public record OwnerRanking(Predicate<InstanceId> holdsReplica) {
    /** Ranks all instances without regard to replicas. */
    public static final OwnerRanking EQUAL = new OwnerRanking(instance -> false);

    /** Returns the instances, the preferred owner first. */
    List<InstanceId> rank(AccountId account, Collection<InstanceId> instances) {
        return RendezvousRanking.rank(account, instances).stream()
                .sorted(Comparator.comparing(holdsReplica::test))
                .toList();
    }
}
