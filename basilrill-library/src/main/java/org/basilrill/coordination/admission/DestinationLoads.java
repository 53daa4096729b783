package org.basilrill.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;

/**
 * Counts the queued requests of each destination, measures the drain rate of its queue and reports the demand to a
 * listener. Not thread safe; guarded by the lock of the dispatcher.
 */
final class DestinationLoads {
    /**
     * Above this number, entries of destinations without queued requests are removed. Their drain rates can be measured
     * again.
     */
    private static final int MAX_DESTINATIONS = 4096;

    private final DemandListener demand;
    private final SerialCallbacks callbacks;
    private final Map<Destination, Load> loads = new HashMap<>();

    DestinationLoads(DemandListener demand, SerialCallbacks callbacks) {
        this.demand = demand;
        this.callbacks = callbacks;
    }

    static String name(Request request) {
        Destination destination = request.destination();
        return destination
                .model()
                .map(ModelId::value)
                .orElseGet(() -> destination.service().orElseThrow());
    }

    void requested(Request request) {
        request.destination()
                .model()
                .ifPresent(model -> callbacks.add(() -> demand.requested(model, request.tokens())));
    }

    /** Counts a request that was added to the queue. */
    void enqueued(Destination destination, boolean ready, long now) {
        if (loads.size() >= MAX_DESTINATIONS) {
            loads.values().removeIf(load -> load.waiting == 0);
        }
        Load load = loads.computeIfAbsent(destination, absent -> new Load());
        load.waiting++;
        load.drain.setBacklogged(ready, now);
        if (!ready) {
            load.awaitsCopy = true;
            reportWaiting(destination, load);
        }
    }

    /**
     * Counts a request that was assigned a target.
     *
     * @param neverWaited whether the request was assigned on arrival; if no other request was queued, it does not
     *     affect the drain rate
     */
    void dispatched(Destination destination, boolean neverWaited, long now) {
        Load load = loads.get(destination);
        if (!neverWaited || load.waiting > 1) {
            load.drain.setBacklogged(true, now);
            load.drain.dispatched(now);
        }
        dequeued(destination, now);
    }

    /** Counts a request that was removed from the queue. */
    void dequeued(Destination destination, long now) {
        Load load = loads.get(destination);
        load.waiting--;
        if (load.waiting == 0) {
            load.drain.setBacklogged(false, now);
        }
        if (load.awaitsCopy) {
            reportWaiting(destination, load);
            load.awaitsCopy = load.waiting > 0;
        }
    }

    Optional<Double> optimisticDrainPerSecond(Destination destination, long now) {
        Load load = loads.get(destination);
        return load == null ? Optional.empty() : load.drain.optimisticPerSecond(now);
    }

    Optional<Double> drainPerSecond(Destination destination, long now) {
        Load load = loads.get(destination);
        return load == null ? Optional.empty() : load.drain.perSecond(now);
    }

    private void reportWaiting(Destination destination, Load load) {
        int waiting = load.waiting;
        destination.model().ifPresent(model -> callbacks.add(() -> demand.waitingForCopy(model, waiting)));
    }

    /** Queue length and drain rate of one destination. */
    private static final class Load {
        private final DrainRate drain = new DrainRate();
        private int waiting;
        private boolean awaitsCopy;
    }
}
