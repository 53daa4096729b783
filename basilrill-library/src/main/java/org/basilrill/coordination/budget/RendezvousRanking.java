package org.basilrill.coordination.budget;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;

/**
 * Ranks instances for an account by rendezvous hashing: all instances compute the same order, and the loss of an
 * instance changes the preferred owner of its own accounts only. Stateless and thread safe.
 */
final class RendezvousRanking {
    private static final String ALGORITHM = "SHA-256";

    private RendezvousRanking() {}

    /** Returns the instances, the preferred owner first. */
    static List<InstanceId> rank(AccountId account, Collection<InstanceId> instances) {
        // The weights are computed once each; a comparison would compute two.
        return instances.stream()
                .map(instance -> new Weighted(instance, weight(account, instance)))
                .sorted(Comparator.comparingLong(Weighted::weight).reversed().thenComparing(Weighted::instance))
                .map(Weighted::instance)
                .toList();
    }

    private static long weight(AccountId account, InstanceId instance) {
        try {
            MessageDigest digest = MessageDigest.getInstance(ALGORITHM);
            // Identifiers contain no space, so the concatenation of the two is unambiguous.
            String key = account.value() + ' ' + instance.value();
            return ByteBuffer.wrap(digest.digest(key.getBytes(StandardCharsets.UTF_8)))
                    .getLong();
        } catch (NoSuchAlgorithmException exception) {
            throw new IllegalStateException(ALGORITHM + " is part of every Java platform", exception);
        }
    }

    /** An instance with its weight for one account. */
    private record Weighted(InstanceId instance, long weight) {}
}
