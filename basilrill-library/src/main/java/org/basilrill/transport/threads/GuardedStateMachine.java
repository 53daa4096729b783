package org.basilrill.transport.threads;

import java.util.function.Supplier;
import org.basilrill.state.log.ReplicatedStateMachine;

/**
 * Turns an exception of a state machine into an error. The machine may have applied a part of a command, so its state
 * must not be served or continued: the process ends and restores the machine from the store. Used by one thread at a
 * time, like the machine.
 */
final class GuardedStateMachine implements ReplicatedStateMachine {
    private final ReplicatedStateMachine guarded;

    GuardedStateMachine(ReplicatedStateMachine guarded) {
        this.guarded = guarded;
    }

    @Override
    public byte[] apply(long index, byte[] command) {
        return run("command " + index, () -> guarded.apply(index, command));
    }

    @Override
    public byte[] snapshot() {
        return run("snapshot", guarded::snapshot);
    }

    @Override
    public void restore(byte[] snapshot) {
        run("restored snapshot", () -> {
            guarded.restore(snapshot);
            return null;
        });
    }

    private static <T> T run(String action, Supplier<T> operation) {
        try {
            return operation.get();
        } catch (RuntimeException exception) {
            throw new ReplicaError("the state machine failed at " + action, exception);
        }
    }
}
