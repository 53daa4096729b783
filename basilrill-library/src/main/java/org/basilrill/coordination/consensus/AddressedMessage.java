package org.basilrill.coordination.consensus;

/**
 * A consensus message with the incarnations of its sender and recipient. The incarnations prevent a replica from acting
 * under an identity it had before it lost its data folder. Immutable and thread safe.
 *
 * @param recipientIncarnation {@link #ANY_INCARNATION} if the sender does not know the recipient's incarnation
 */
public record AddressedMessage(long senderIncarnation, long recipientIncarnation, ConsensusMessage message) {
    /** Addresses the recipient whatever its current incarnation is. */
    public static final long ANY_INCARNATION = 0;
}
