package org.basilrill.coordination.control;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;

/**
 * The replicas of the control log known to a client, and the last reported leader. The replicas of the settings stay
 * listed although later responses may name others, in case all of those are lost. Thread safe.
 */
final class ReplicaDirectory {
    private final List<InstanceId> configured;
    private final RandomGenerator random;
    private List<InstanceId> reportedMembers = List.of();
    private List<InstanceId> advertisedReplicas = List.of();
    private List<InstanceId> replicas;
    private Optional<InstanceId> leader = Optional.empty();

    ReplicaDirectory(List<InstanceId> configured, RandomGenerator random) {
        if (configured.isEmpty()) {
            throw new IllegalArgumentException("at least one replica of the control log must be named");
        }
        this.configured = List.copyOf(configured);
        this.random = random;
        this.replicas = this.configured;
    }

    /** Returns a random replica, to distribute the clients. */
    synchronized InstanceId any() {
        return replicas.get(random.nextInt(replicas.size()));
    }

    /** Returns the replica listed after the given one, so that repeated calls iterate over all replicas. */
    synchronized InstanceId nextAfter(InstanceId replica) {
        return replicas.get((replicas.indexOf(replica) + 1) % replicas.size());
    }

    /** Returns the last reported leader. */
    synchronized Optional<InstanceId> leader() {
        return leader;
    }

    /** Returns the known leader, or otherwise a random replica. */
    synchronized InstanceId leaderOrAny() {
        return leader.orElseGet(this::any);
    }

    synchronized void recordLeader(InstanceId replica) {
        leader = Optional.of(replica);
    }

    /** Clears the leader if it is the given replica. */
    synchronized void clearLeader(InstanceId replica) {
        leader = leader.filter(known -> !known.equals(replica));
    }

    /** Replaces the members of the log reported by a replica; ignores an empty list. */
    synchronized void updateMembers(List<InstanceId> members) {
        if (!members.isEmpty()) {
            reportedMembers = List.copyOf(members);
            rebuildReplicas();
        }
    }

    /**
     * Replaces the instances that advertise a replica of their own, because the replicas of the settings may no longer
     * exist.
     */
    synchronized void updateAdvertisedReplicas(List<InstanceId> instances) {
        advertisedReplicas = List.copyOf(instances);
        rebuildReplicas();
    }

    private void rebuildReplicas() {
        Set<InstanceId> all = new LinkedHashSet<>(reportedMembers);
        all.addAll(advertisedReplicas);
        all.addAll(configured);
        replicas = new ArrayList<>(all);
    }
}
