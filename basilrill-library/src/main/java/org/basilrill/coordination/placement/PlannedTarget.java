package org.basilrill.coordination.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/**
 * State of one target during a planning run: the reservations in the ledger, joined with the announcement of the target
 * and updated by the orders planned so far. Not thread safe.
 */
final class PlannedTarget {
    private final TargetAnnouncement announcement;
    private final LedgerRow row;
    private final boolean acceptsOrders;
    private final Set<ModelId> avoided;
    private final Map<ModelId, Copy> copies = new HashMap<>();
    private final Set<ModelId> busyModels = new HashSet<>();
    private long freeBytes;
    private long bytesBeingFreed;
    private int openOrders;
    private double rate;

    PlannedTarget(
            TargetAnnouncement announcement,
            LedgerRow row,
            boolean acceptsOrders,
            boolean fresh,
            Set<ModelId> avoided) {
        this.announcement = announcement;
        this.row = row;
        this.acceptsOrders = acceptsOrders;
        this.avoided = avoided;
        freeBytes = row.freeBytes();
        openOrders = row.openOrders().size();
        row.holdings().forEach(holding -> addReserved(holding.model(), holding.version(), holding.bytes(), fresh));
        announcement.contents().forEach((model, loaded) -> addAnnounced(model, loaded, fresh));
        row.openOrders().forEach(this::addOpenOrder);
    }

    TargetId id() {
        return announcement.id();
    }

    String dataCentre() {
        return announcement.dataCentre();
    }

    long incarnation() {
        return row.incarnation();
    }

    boolean isLeaving() {
        return announcement.leaving();
    }

    Collection<Copy> copies() {
        return copies.values();
    }

    Copy copyOf(ModelId model) {
        return copies.get(model);
    }

    long freeBytes() {
        return freeBytes;
    }

    /** Returns the bytes that unloads in flight will free. */
    long bytesBeingFreed() {
        return bytesBeingFreed;
    }

    double rate() {
        return rate;
    }

    void addRate(double tokensPerSecond) {
        rate += tokensPerSecond;
    }

    /** Returns whether an order for the model may be sent to the target now. */
    boolean accepts(ModelId model) {
        return acceptsOrders
                && !announcement.leaving()
                && (row.enforcesFencing() || openOrders == 0)
                && !busyModels.contains(model);
    }

    boolean avoids(ModelId model) {
        return avoided.contains(model);
    }

    /** Reserves memory for a load that waits for it, so that no other load is planned into the same memory. */
    void reserveMemory(long bytes) {
        freeBytes -= bytes;
    }

    Copy load(ModelId model, int version, long bytes) {
        openOrders++;
        busyModels.add(model);
        freeBytes -= bytes;
        Copy copy = copies.computeIfAbsent(model, key -> new Copy(this, key));
        copy.version = version;
        copy.loading = true;
        copy.bytes += bytes;
        return copy;
    }

    void unload(Copy copy) {
        openOrders++;
        busyModels.add(copy.model);
        copy.unloading = true;
        bytesBeingFreed += copy.bytes;
    }

    private void addReserved(ModelId model, int version, long bytes, boolean fresh) {
        Copy copy = copies.computeIfAbsent(model, key -> new Copy(this, key));
        copy.bytes += bytes;
        copy.version = Math.max(copy.version, version);
        copy.unconfirmed = !fresh;
    }

    /**
     * Adds a model from the announcement. An announcement that is not fresh may still list a model that was unloaded
     * since.
     */
    private void addAnnounced(ModelId model, LoadedModel loaded, boolean fresh) {
        if (!fresh && !copies.containsKey(model)) {
            return;
        }
        Copy copy = copies.computeIfAbsent(model, key -> new Copy(this, key));
        copy.ready = loaded.ready();
        copy.unconfirmed = !loaded.ready() && !fresh;
        if (fresh || copy.version == 0) {
            copy.version = loaded.version();
        }
    }

    private void addOpenOrder(OpenOrder order) {
        busyModels.add(order.model());
        Copy copy = copies.get(order.model());
        if (order.kind() == OrderKind.LOAD_MODEL || order.kind() == OrderKind.LOAD_ADAPTER) {
            copy = copies.computeIfAbsent(order.model(), key -> new Copy(this, key));
            copy.loading = true;
            copy.version = order.version();
        } else if (copy != null && order.kind() != OrderKind.CHANGE_ROLE) {
            copy.unloading = true;
            bytesBeingFreed += copy.bytes;
        }
    }

    /** A model or adapter at one target. Not thread safe. */
    static final class Copy {
        private final PlannedTarget target;
        private final ModelId model;
        private int version;
        private long bytes;
        private boolean ready;
        private boolean unconfirmed;
        private boolean loading;
        private boolean unloading;

        private Copy(PlannedTarget target, ModelId model) {
            this.target = target;
            this.model = model;
        }

        PlannedTarget target() {
            return target;
        }

        ModelId model() {
            return model;
        }

        /** Returns the version that is loaded, or that is being loaded. */
        int version() {
            return version;
        }

        long bytes() {
            return bytes;
        }

        boolean isAdapter() {
            return model.adapter().isPresent();
        }

        /**
         * Returns whether the copy serves requests and no unload is open. During a version change the older version
         * serves them.
         */
        boolean isReady() {
            return ready && !unloading && !target.isLeaving();
        }

        /** Returns whether the copy is ready and no load or unload of it is open. */
        boolean isStable() {
            return isReady() && !loading;
        }

        /** Returns whether the copy is expected to become ready. */
        boolean isBecomingReady() {
            return !isReady() && !unloading && !target.isLeaving() && (loading || unconfirmed);
        }

        /**
         * Returns whether the ledger reserves memory for nothing: the target announces no ready copy and no order is
         * open.
         */
        boolean isUnusedReservation() {
            return !ready && !unconfirmed && !loading && !unloading;
        }

        boolean isUnloading() {
            return unloading;
        }

        boolean isLoading() {
            return loading;
        }
    }
}
