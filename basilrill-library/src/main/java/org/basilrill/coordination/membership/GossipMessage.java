package org.basilrill.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.InstanceId;

/**
 * A message of the membership exchange. Immutable and thread safe.
 *
 * @param digest the versions that the sender knows; absent if the message contains only deltas
 * @param responseRequested whether the receiver must respond with its own digest
 */
public record GossipMessage(Optional<List<DigestEntry>> digest, List<OwnerDelta> deltas, boolean responseRequested) {
    public GossipMessage {
        digest = digest.map(List::copyOf);
        deltas = List.copyOf(deltas);
    }

    /** The latest version of one owner known to the sender. */
    public record DigestEntry(InstanceId owner, long incarnation, long version) {}

    /**
     * The items of one owner with versions above {@code fromVersion}, up to {@code toVersion}.
     *
     * @param fromVersion a receiver with a lower version must ignore the delta, because it would miss items
     * @param ageMillis time since the sender saw the owner's version advance
     */
    public record OwnerDelta(
            InstanceId owner, long incarnation, long fromVersion, long toVersion, List<Item> items, long ageMillis) {
        public OwnerDelta {
            items = List.copyOf(items);
        }
    }

    /** A fact with the version of its owner at which it last changed. */
    public record Item(long version, Fact fact) {}
}
