package org.basilrill.transport.threads;

import java.nio.ByteBuffer;
import java.util.Arrays;
import java.util.Map;
import java.util.TreeMap;
import org.basilrill.state.log.ReplicatedStateMachine;

/**
 * A state machine whose state is a hash over all commands that it applied. Machines that share a map of hashes check
 * each other: a lost, changed or repeated command gives another hash at the same index.
 */
final class ChainMachine implements ReplicatedStateMachine {
    private static final int MULTIPLIER = 31;
    /** Large enough that a snapshot takes several chunks. */
    private static final int SNAPSHOT_BYTES = 400;

    private final Map<Long, Long> sharedHashes;
    private final Map<Long, Long> sharedCommands;
    private long appliedIndex;
    private long hash;

    /**
     * Creates a machine in its initial state.
     *
     * @param sharedHashes hash after each index, of all machines of the test
     * @param sharedCommands command at each index, of all machines of the test
     */
    ChainMachine(Map<Long, Long> sharedHashes, Map<Long, Long> sharedCommands) {
        this.sharedHashes = sharedHashes;
        this.sharedCommands = sharedCommands;
    }

    static Map<Long, Long> newMap() {
        return new TreeMap<>();
    }

    static byte[] command(long number) {
        return ByteBuffer.allocate(Long.BYTES).putLong(number).array();
    }

    /** Returns the index of the last applied command. */
    long appliedIndex() {
        return appliedIndex;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        long number = ByteBuffer.wrap(command).getLong();
        if (index <= appliedIndex) {
            throw new AssertionError("command at " + index + " applied after " + appliedIndex);
        }
        sharedCommands.putIfAbsent(index, number);
        appliedIndex = index;
        hash = (hash * MULTIPLIER + index) * MULTIPLIER + number;
        checkHash();
        return ByteBuffer.allocate(Long.BYTES).putLong(index).array();
    }

    @Override
    public byte[] snapshot() {
        byte[] encoded = ByteBuffer.allocate(2 * Long.BYTES)
                .putLong(appliedIndex)
                .putLong(hash)
                .array();
        return Arrays.copyOf(encoded, SNAPSHOT_BYTES);
    }

    @Override
    public void restore(byte[] snapshot) {
        ByteBuffer encoded = ByteBuffer.wrap(snapshot);
        appliedIndex = encoded.getLong();
        hash = encoded.getLong();
        checkHash();
    }

    private void checkHash() {
        Long expected = sharedHashes.putIfAbsent(appliedIndex, hash);
        if (appliedIndex > 0 && expected != null && expected != hash) {
            throw new AssertionError("replicas differ at index " + appliedIndex);
        }
    }
}
