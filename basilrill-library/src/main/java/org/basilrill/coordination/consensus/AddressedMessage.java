package org.basilrill.coordination.consensus;

/**
 * A message with the incarnations of its sender and its recipient, so that a replica never acts under an identity it
 * had before it lost its data folder. Immutable and thread safe.
 *
 * @param recipientIncarnation {@link #ANY_INCARNATION} if the sender does not know it
 */
public record AddressedMessage(long senderIncarnation, long recipientIncarnation, ConsensusMessage message) {
    /** Addresses whichever incarnation the instance has. */
    public static final long ANY_INCARNATION = 0;
}
