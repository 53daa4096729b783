package org.basilrill.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.InstanceId;

/**
 * One message of the membership exchange. Immutable and thread safe.
 *
 * @param digest what the sender holds; absent if it only passes on deltas
 * @param question whether the receiver is to answer with its own digest
 */
public record GossipMessage(Optional<List<DigestEntry>> digest, List<OwnerDelta> deltas, boolean question) {
    public GossipMessage {
        digest = digest.map(List::copyOf);
        deltas = List.copyOf(deltas);
    }

    /** How much the sender knows of one owner. */
    public record DigestEntry(InstanceId owner, long incarnation, long version) {}

    /**
     * The items of one owner with versions above {@code fromVersion}, up to {@code toVersion}.
     *
     * @param fromVersion a receiver that holds less must ignore the delta, as it would miss items
     * @param ageMillis how long the sender has not heard of the owner
     */
    public record OwnerDelta(
            InstanceId owner, long incarnation, long fromVersion, long toVersion, List<Item> items, long ageMillis) {
        public OwnerDelta {
            items = List.copyOf(items);
        }
    }

    /** One fact with the version of its owner at which it last changed. */
    public record Item(long version, Fact fact) {}
}
