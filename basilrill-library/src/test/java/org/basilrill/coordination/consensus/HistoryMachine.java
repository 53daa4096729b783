package org.basilrill.coordination.consensus;

import java.nio.ByteBuffer;
import java.util.Map;
import java.util.TreeMap;
import org.basilrill.state.log.ReplicatedStateMachine;

/** A state machine that stores every command with its index; the result of a command is its index. */
final class HistoryMachine implements ReplicatedStateMachine {
    private final HistoryOracle oracle;
    private final Map<Long, Long> history = new TreeMap<>();

    HistoryMachine(HistoryOracle oracle) {
        this.oracle = oracle;
    }

    Map<Long, Long> history() {
        return history;
    }

    static byte[] command(long number) {
        return ByteBuffer.allocate(Long.BYTES).putLong(number).array();
    }

    static long number(byte[] encoded) {
        return ByteBuffer.wrap(encoded).getLong();
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        history.put(index, number(command));
        oracle.checkApplied(index, number(command));
        return command(index);
    }

    @Override
    public byte[] snapshot() {
        ByteBuffer buffer = ByteBuffer.allocate(history.size() * 2 * Long.BYTES);
        history.forEach((index, command) -> buffer.putLong(index).putLong(command));
        return buffer.array();
    }

    @Override
    public void restore(byte[] snapshot) {
        history.clear();
        ByteBuffer buffer = ByteBuffer.wrap(snapshot);
        while (buffer.hasRemaining()) {
            long index = buffer.getLong();
            long command = buffer.getLong();
            history.put(index, command);
            oracle.checkApplied(index, command);
        }
    }
}
