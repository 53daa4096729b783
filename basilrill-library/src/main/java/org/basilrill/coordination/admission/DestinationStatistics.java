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
final class DestinationStatistics {
    /**
     * Above this number, entries of destinations without queued requests are removed. Their drain rates can be measured
     * again.
     */
    private static final int MAX_DESTINATIONS = 4096;

    private final DemandListener demand;
    private final SerialCallbacks callbacks;
    private final Map<Destination, DestinationEntry> byDestination = new HashMap<>();

    /** Requests without a copy by model, whose destinations may differ in version and residency. */
    private final Map<ModelId, Integer> queuedWithoutCopy = new HashMap<>();

    DestinationStatistics(DemandListener demand, SerialCallbacks callbacks) {
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
        Destination destination = request.destination();
        destination.model().ifPresent(model -> callbacks.add(() -> demand.requestReceived(model, request.tokens())));
        destination
                .model()
                .filter(model -> destination.residency().isRestricted())
                .ifPresent(model -> callbacks.add(() -> demand.requestedWithin(model, destination.residency())));
    }

    /** Counts a request that was added to the queue. */
    void enqueued(Destination destination, boolean ready, long now) {
        if (byDestination.size() >= MAX_DESTINATIONS) {
            byDestination.values().removeIf(entry -> entry.queuedRequests == 0);
        }
        DestinationEntry entry = byDestination.computeIfAbsent(destination, absent -> new DestinationEntry());
        entry.queuedRequests++;
        entry.drain.setBacklogged(ready, now);
        if (!ready) {
            entry.awaitsCopy = true;
            reportQueuedRequests(destination, entry);
        }
    }

    /**
     * Counts a request that was assigned a target.
     *
     * @param neverWaited whether the request was assigned on arrival; if no other request was queued, it does not
     *     affect the drain rate
     */
    void dispatched(Destination destination, boolean neverWaited, long now) {
        DestinationEntry entry = byDestination.get(destination);
        if (!neverWaited || entry.queuedRequests > 1) {
            entry.drain.setBacklogged(true, now);
            entry.drain.dispatched(now);
        }
        dequeued(destination, now);
    }

    /** Counts a request that was removed from the queue. */
    void dequeued(Destination destination, long now) {
        DestinationEntry entry = byDestination.get(destination);
        entry.queuedRequests--;
        if (entry.queuedRequests == 0) {
            entry.drain.setBacklogged(false, now);
        }
        if (entry.awaitsCopy) {
            reportQueuedRequests(destination, entry);
            entry.awaitsCopy = entry.queuedRequests > 0;
        }
    }

    Optional<Double> optimisticDrainPerSecond(Destination destination, long now) {
        DestinationEntry entry = byDestination.get(destination);
        return entry == null ? Optional.empty() : entry.drain.optimisticPerSecond(now);
    }

    Optional<Double> drainPerSecond(Destination destination, long now) {
        DestinationEntry entry = byDestination.get(destination);
        return entry == null ? Optional.empty() : entry.drain.perSecond(now);
    }

    private void reportQueuedRequests(Destination destination, DestinationEntry entry) {
        if (destination.model().isEmpty()) {
            return;
        }
        ModelId model = destination.model().get();
        int queued = queuedWithoutCopy.merge(model, entry.queuedRequests - entry.reportedRequests, Integer::sum);
        entry.reportedRequests = entry.queuedRequests;
        if (queued == 0) {
            queuedWithoutCopy.remove(model);
        }
        callbacks.add(() -> demand.queuedWithoutCopy(model, queued));
    }

    /** Queue length and drain rate of one destination. */
    private static final class DestinationEntry {
        private final DrainRate drain = new DrainRate();
        private int queuedRequests;
        /** Part of this destination in the number that was last reported for its model. */
        private int reportedRequests;

        private boolean awaitsCopy;
    }
}
