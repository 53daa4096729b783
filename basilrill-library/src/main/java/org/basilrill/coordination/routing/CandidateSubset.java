package org.basilrill.coordination.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.SplittableRandom;
import org.basilrill.api.InstanceId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Selects the targets of a destination that this instance uses, by rendezvous hashing. Instances select different
 * subsets. A target that is added or removed changes a subset by at most one member per data centre group. Immutable
 * and thread safe.
 */
final class CandidateSubset {
    private final InstanceId instance;
    private final String dataCentre;
    private final int size;
    private final int remoteSize;

    CandidateSubset(InstanceId instance, String dataCentre, RoutingOptions options) {
        this.instance = instance;
        this.dataCentre = dataCentre;
        this.size = options.subsetSize();
        this.remoteSize = (int) Math.round(size * options.remoteShare());
    }

    /** Returns at most as many targets as the subset size, preferring those of the same data centre. */
    List<TargetAnnouncement> select(String destination, Collection<TargetAnnouncement> targets) {
        if (targets.size() <= size) {
            return List.copyOf(targets);
        }
        long key = ((long) destination.hashCode() << 32)
                ^ Integer.toUnsignedLong(instance.value().hashCode());
        List<Ranked> local = new ArrayList<>();
        List<Ranked> remote = new ArrayList<>();
        for (TargetAnnouncement target : targets) {
            Ranked ranked = new Ranked(target, weight(key, target));
            (target.dataCentre().equals(dataCentre) ? local : remote).add(ranked);
        }
        int remoteCount = Math.min(remote.size(), Math.max(remoteSize, size - local.size()));
        int localCount = Math.min(local.size(), size - remoteCount);
        List<TargetAnnouncement> chosen = new ArrayList<>(size);
        addHighest(local, localCount, chosen);
        addHighest(remote, remoteCount, chosen);
        return chosen;
    }

    private static void addHighest(List<Ranked> ranked, int count, List<TargetAnnouncement> chosen) {
        ranked.sort(Ranked.HIGHEST_FIRST);
        for (Ranked candidate : ranked.subList(0, count)) {
            chosen.add(candidate.target());
        }
    }

    /** Hashes destination, instance and target; the first output of the generator is a 64-bit mix of its seed. */
    private static long weight(long key, TargetAnnouncement target) {
        long mixedKey = new SplittableRandom(key).nextLong();
        return new SplittableRandom(mixedKey ^ target.id().value().hashCode()).nextLong();
    }

    /** A target with its rendezvous weight. */
    private record Ranked(TargetAnnouncement target, long weight) {
        static final Comparator<Ranked> HIGHEST_FIRST = Comparator.comparingLong(Ranked::weight)
                .reversed()
                .thenComparing(ranked -> ranked.target().id());
    }
}
