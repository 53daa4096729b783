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
 * One target as a decision sees it: what the ledger reserves, joined with what the target announces, and changed by the
 * moves decided so far. Not thread safe.
 */
final class Site {
    private final TargetAnnouncement announcement;
    private final LedgerRow row;
    private final boolean open;
    private final Set<ModelId> avoided;
    private final Map<ModelId, Copy> copies = new HashMap<>();
    private final Set<ModelId> busyModels = new HashSet<>();
    private long freeBytes;
    private long releasingBytes;
    private int openOrders;
    private double rate;

    Site(TargetAnnouncement announcement, LedgerRow row, boolean open, boolean settled, Set<ModelId> avoided) {
        this.announcement = announcement;
        this.row = row;
        this.open = open;
        this.avoided = avoided;
        freeBytes = row.freeBytes();
        openOrders = row.openOrders().size();
        row.holdings().forEach(holding -> hold(holding.model(), holding.version(), holding.bytes(), settled));
        announcement.contents().forEach((model, loaded) -> announce(model, loaded, settled));
        row.openOrders().forEach(this::open);
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

    Copy copy(ModelId model) {
        return copies.get(model);
    }

    long freeBytes() {
        return freeBytes;
    }

    /** Returns the bytes that unloads under way will free. */
    long releasingBytes() {
        return releasingBytes;
    }

    double rate() {
        return rate;
    }

    void addRate(double tokensPerSecond) {
        rate += tokensPerSecond;
    }

    /** Returns whether the target may get an order for the model now. */
    boolean accepts(ModelId model) {
        return open
                && !announcement.leaving()
                && (row.enforcesFencing() || openOrders == 0)
                && !busyModels.contains(model);
    }

    boolean avoids(ModelId model) {
        return avoided.contains(model);
    }

    /** Takes memory for a load that waits for it, so that no other load takes it. */
    void claim(long bytes) {
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
        releasingBytes += copy.bytes;
    }

    private void hold(ModelId model, int version, long bytes, boolean settled) {
        Copy copy = copies.computeIfAbsent(model, key -> new Copy(this, key));
        copy.bytes += bytes;
        copy.version = Math.max(copy.version, version);
        copy.pending = !settled;
    }

    /** Joins what the target announces. An older announcement may still list what was unloaded since. */
    private void announce(ModelId model, LoadedModel loaded, boolean settled) {
        if (!settled && !copies.containsKey(model)) {
            return;
        }
        Copy copy = copies.computeIfAbsent(model, key -> new Copy(this, key));
        copy.ready = loaded.ready();
        copy.pending = !loaded.ready() && !settled;
        if (settled || copy.version == 0) {
            copy.version = loaded.version();
        }
    }

    private void open(OpenOrder order) {
        busyModels.add(order.model());
        Copy copy = copies.get(order.model());
        if (order.kind() == OrderKind.LOAD_MODEL || order.kind() == OrderKind.LOAD_ADAPTER) {
            copy = copies.computeIfAbsent(order.model(), key -> new Copy(this, key));
            copy.loading = true;
            copy.version = order.version();
        } else if (copy != null && order.kind() != OrderKind.CHANGE_ROLE) {
            copy.unloading = true;
            releasingBytes += copy.bytes;
        }
    }

    /** A model or adapter at one target. Not thread safe. */
    static final class Copy {
        private final Site site;
        private final ModelId model;
        private int version;
        private long bytes;
        private boolean ready;
        private boolean pending;
        private boolean loading;
        private boolean unloading;

        private Copy(Site site, ModelId model) {
            this.site = site;
            this.model = model;
        }

        Site site() {
            return site;
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
         * Returns whether callers can be served here and will be for now; in a version change, by the older
         * version.
         */
        boolean isReady() {
            return ready && !unloading && !site.isLeaving();
        }

        /** Returns whether the copy is ready and not about to change. */
        boolean isSteady() {
            return isReady() && !loading;
        }

        /** Returns whether the copy is expected to become ready. */
        boolean isComing() {
            return !isReady() && !unloading && !site.isLeaving() && (loading || pending);
        }

        /** Returns whether the memory is held to no use: the target announces no ready copy and no order is open. */
        boolean isStale() {
            return !ready && !pending && !loading && !unloading;
        }

        boolean isUnloading() {
            return unloading;
        }

        boolean isLoading() {
            return loading;
        }
    }
}
