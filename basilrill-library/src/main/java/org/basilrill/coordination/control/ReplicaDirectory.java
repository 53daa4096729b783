package org.basilrill.coordination.control;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;

/**
 * The replicas of the control log known to a client and the one last said to lead. The replicas of the settings are
 * kept although later answers may name others, in case all of those are lost. Thread safe.
 */
final class ReplicaDirectory {
    private final List<InstanceId> seeds;
    private final RandomGenerator random;
    private List<InstanceId> told = List.of();
    private List<InstanceId> hinted = List.of();
    private List<InstanceId> replicas;
    private Optional<InstanceId> leader = Optional.empty();

    ReplicaDirectory(List<InstanceId> seeds, RandomGenerator random) {
        if (seeds.isEmpty()) {
            throw new IllegalArgumentException("at least one replica of the control log must be named");
        }
        this.seeds = List.copyOf(seeds);
        this.random = random;
        this.replicas = this.seeds;
    }

    /** Returns a random replica, to spread the clients. */
    synchronized InstanceId any() {
        return replicas.get(random.nextInt(replicas.size()));
    }

    /** Returns the replica after the given one, so that repeated calls reach every replica. */
    synchronized InstanceId after(InstanceId replica) {
        return replicas.get((replicas.indexOf(replica) + 1) % replicas.size());
    }

    /** Returns the replica to submit to first. */
    synchronized InstanceId leaderOrAny() {
        return leader.orElseGet(this::any);
    }

    synchronized void learnLeader(InstanceId replica) {
        leader = Optional.of(replica);
    }

    /** Forgets the leader if it is still the given replica. */
    synchronized void doubtLeader(InstanceId replica) {
        leader = leader.filter(known -> !known.equals(replica));
    }

    /** Takes the members of the log that a replica told. */
    synchronized void learnReplicas(List<InstanceId> members) {
        if (!members.isEmpty()) {
            told = List.copyOf(members);
            combine();
        }
    }

    /** Takes the instances that say of themselves that they hold a replica; the seeds may hold none. */
    synchronized void hintReplicas(List<InstanceId> instances) {
        hinted = List.copyOf(instances);
        combine();
    }

    private void combine() {
        Set<InstanceId> all = new LinkedHashSet<>(told);
        all.addAll(hinted);
        all.addAll(seeds);
        replicas = new ArrayList<>(all);
    }
}
