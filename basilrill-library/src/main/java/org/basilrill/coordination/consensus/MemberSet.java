package org.basilrill.coordination.consensus;

import java.nio.charset.StandardCharsets;
import java.util.Collection;
import java.util.Collections;
import java.util.Optional;
import java.util.SortedSet;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import java.util.stream.Collectors;

/**
 * The voting replicas of the control log. Immutable and thread safe.
 *
 * @param voters the replicas that count towards a majority
 */
public record MemberSet(SortedSet<ReplicaId> voters) {
    /** Largest supported number of voters. */
    public static final int MAXIMUM_VOTERS = 7;

    private static final String SEPARATOR = "\n";

    public MemberSet {
        voters = Collections.unmodifiableSortedSet(new TreeSet<>(voters));
    }

    /** Returns the empty set, which a replica has before it receives a member set. */
    public static MemberSet empty() {
        return new MemberSet(new TreeSet<>());
    }

    /** Decodes the result of {@link #encode}. */
    public static MemberSet decode(byte[] encoded) {
        String text = new String(encoded, StandardCharsets.UTF_8);
        if (text.isEmpty()) {
            return empty();
        }
        return new MemberSet(text.lines().map(ReplicaId::parse).collect(Collectors.toCollection(TreeSet::new)));
    }

    /** Encodes the set for the log and for snapshots. */
    public byte[] encode() {
        return voters.stream()
                .map(ReplicaId::toString)
                .collect(Collectors.joining(SEPARATOR))
                .getBytes(StandardCharsets.UTF_8);
    }

    /** Returns whether the replica is a voter with exactly this incarnation. */
    public boolean contains(ReplicaId replica) {
        return voters.contains(replica);
    }

    /** Returns the voter with the same instance name, whatever its incarnation. */
    public Optional<ReplicaId> voterOfSameInstance(ReplicaId replica) {
        return voters.stream()
                .filter(voter -> voter.instance().equals(replica.instance()))
                .findFirst();
    }

    /** Returns the set with one more voter. */
    public MemberSet with(ReplicaId replica) {
        SortedSet<ReplicaId> changed = new TreeSet<>(voters);
        changed.add(replica);
        return new MemberSet(changed);
    }

    /** Returns the set with one voter less. */
    public MemberSet without(ReplicaId replica) {
        SortedSet<ReplicaId> changed = new TreeSet<>(voters);
        changed.remove(replica);
        return new MemberSet(changed);
    }

    /** Returns whether the replicas include more than half of the voters. */
    public boolean isMajority(Collection<ReplicaId> replicas) {
        long present = voters.stream().filter(replicas::contains).count();
        return present > voters.size() / 2;
    }

    /** Returns the largest value that more than half of the voters have reached. The set must not be empty. */
    public long reachedByMajority(ToLongFunction<ReplicaId> value) {
        long[] sorted = voters.stream().mapToLong(value).sorted().toArray();
        return sorted[(sorted.length - 1) / 2];
    }
}
