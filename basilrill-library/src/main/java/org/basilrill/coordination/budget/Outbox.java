package org.basilrill.coordination.budget;

import java.util.ArrayList;
import java.util.List;
import org.basilrill.api.InstanceId;

/**
 * Collects the effects of one step, so that messages are sent and futures completed after the lock of the shard is
 * released. Confined to one thread.
 */
final class Outbox {
    private final List<OutgoingMessage> messages = new ArrayList<>();
    private final List<Runnable> actions = new ArrayList<>();

    void send(InstanceId recipient, BudgetMessage message) {
        messages.add(new OutgoingMessage(recipient, message));
    }

    void runAfterUnlock(Runnable action) {
        actions.add(action);
    }

    /** Removes and returns the collected messages. */
    List<OutgoingMessage> drainMessages() {
        List<OutgoingMessage> drained = List.copyOf(messages);
        messages.clear();
        return drained;
    }

    List<Runnable> actions() {
        return List.copyOf(actions);
    }

    /** A message and its recipient. */
    record OutgoingMessage(InstanceId recipient, BudgetMessage message) {}
}
