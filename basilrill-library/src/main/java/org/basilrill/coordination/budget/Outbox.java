package org.basilrill.coordination.budget;

import java.util.ArrayList;
import java.util.List;
import org.basilrill.api.InstanceId;

/**
 * Collects the effects of one step, so that messages are sent and futures completed after the lock of the shard is
 * released. Used by one thread.
 */
final class Outbox {
    private final List<Parcel> parcels = new ArrayList<>();
    private final List<Runnable> actions = new ArrayList<>();

    void send(InstanceId recipient, BudgetMessage message) {
        parcels.add(new Parcel(recipient, message));
    }

    void afterwards(Runnable action) {
        actions.add(action);
    }

    /** Removes and returns the messages collected so far. */
    List<Parcel> takeParcels() {
        List<Parcel> taken = List.copyOf(parcels);
        parcels.clear();
        return taken;
    }

    List<Runnable> actions() {
        return List.copyOf(actions);
    }

    /** A message and its recipient. */
    record Parcel(InstanceId recipient, BudgetMessage message) {}
}
