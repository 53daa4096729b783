package org.basilrill.transport.threads;

import java.util.Optional;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.Consumer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.coordination.consensus.Replica;

/** The actions that wait for the thread of a replica, in their order. Thread safe. */
final class ReplicaTasks {
    private final ConcurrentLinkedQueue<Task> queued = new ConcurrentLinkedQueue<>();

    void add(Task task) {
        queued.add(task);
    }

    boolean isEmpty() {
        return queued.isEmpty();
    }

    /** Removes the first task. */
    Optional<Task> poll() {
        return Optional.ofNullable(queued.poll());
    }

    /** Rejects all queued tasks. */
    void reject(BasilrillException reason) {
        for (Task next = queued.poll(); next != null; next = queued.poll()) {
            next.onRejection().accept(unavailable(reason));
        }
    }

    static BasilrillException unavailable(BasilrillException reason) {
        return new BasilrillException(
                ErrorCode.CONTROL_UNAVAILABLE, "the replica takes no part: " + reason.getMessage(), reason);
    }

    /** An action for the replica's thread, and a callback that is called instead while there is no replica. */
    record Task(Consumer<Replica> action, Consumer<BasilrillException> onRejection) {}
}
