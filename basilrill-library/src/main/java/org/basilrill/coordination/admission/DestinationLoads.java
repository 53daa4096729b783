package org.basilrill.coordination.admission;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;

/**
 * Counts the waiting requests of each destination, measures how fast its queue drains and reports the demand. Not
 * thread safe; guarded by the dispatcher.
 */
final class DestinationLoads {
    /** Rates of destinations without waiting requests are dropped above this number, as they can be learned again. */
    private static final int LIMIT = 4096;

    private final DemandListener demand;
    private final SerialEffects effects;
    private final Map<Destination, Load> loads = new HashMap<>();

    DestinationLoads(DemandListener demand, SerialEffects effects) {
        this.demand = demand;
        this.effects = effects;
    }

    static String name(Request request) {
        Destination destination = request.destination();
        return destination
                .model()
                .map(ModelId::value)
                .orElseGet(() -> destination.service().orElseThrow());
    }

    void requested(Request request) {
        request.destination().model().ifPresent(model -> effects.add(() -> demand.requested(model, request.tokens())));
    }

    /** Counts a request that enters the queue. */
    void entered(Destination destination, boolean ready, long now) {
        if (loads.size() >= LIMIT) {
            loads.values().removeIf(load -> load.waiting == 0);
        }
        Load load = loads.computeIfAbsent(destination, absent -> new Load());
        load.waiting++;
        load.drain.backlog(ready, now);
        if (!ready) {
            load.withoutCopy = true;
            reportWaiting(destination, load);
        }
    }

    /**
     * Counts a request that got a target.
     *
     * @param arriving whether it never waited; alone in the queue it then says nothing about the drain rate
     */
    void dispatched(Destination destination, boolean arriving, long now) {
        Load load = loads.get(destination);
        if (!arriving || load.waiting > 1) {
            load.drain.backlog(true, now);
            load.drain.dispatched(now);
        }
        left(destination, now);
    }

    /** Counts a request that stopped waiting. */
    void left(Destination destination, long now) {
        Load load = loads.get(destination);
        load.waiting--;
        if (load.waiting == 0) {
            load.drain.backlog(false, now);
        }
        if (load.withoutCopy) {
            reportWaiting(destination, load);
            load.withoutCopy = load.waiting > 0;
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
        destination.model().ifPresent(model -> effects.add(() -> demand.waitingForCopy(model, waiting)));
    }

    /** Load of one destination. */
    private static final class Load {
        private final DrainRate drain = new DrainRate();
        private int waiting;
        private boolean withoutCopy;
    }
}
