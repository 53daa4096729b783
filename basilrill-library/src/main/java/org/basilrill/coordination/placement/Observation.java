package org.basilrill.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.ObserveTarget;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/** Snapshot of the ledger and the announcements, joined by target and ordered by target name. Immutable. */
final class Observation {
    private final Map<TargetId, LedgerRow> rows = new TreeMap<>();
    private final Map<TargetId, TargetAnnouncement> announcements = new TreeMap<>();

    Observation(Collection<LedgerRow> rows, Collection<TargetAnnouncement> announcements) {
        rows.forEach(row -> this.rows.put(row.target(), row));
        announcements.forEach(announcement -> this.announcements.put(announcement.id(), announcement));
    }

    Collection<LedgerRow> rows() {
        return rows.values();
    }

    Collection<TargetAnnouncement> announcements() {
        return announcements.values();
    }

    Optional<LedgerRow> row(TargetId target) {
        return Optional.ofNullable(rows.get(target));
    }

    /** Returns the announcement of the target if its incarnation is the one in the ledger. */
    Optional<TargetAnnouncement> current(TargetId target) {
        LedgerRow row = rows.get(target);
        return Optional.ofNullable(announcements.get(target))
                .filter(announcement -> row != null && announcement.incarnation() == row.incarnation());
    }

    /** Returns the open orders by id. */
    Map<String, OpenOrder> openOrders() {
        Map<String, OpenOrder> open = new HashMap<>();
        rows.values().forEach(row -> row.openOrders().forEach(order -> open.put(order.orderId(), order)));
        return open;
    }

    /** Returns the rows with the pending orders that are not in the ledger yet, so that they are not planned twice. */
    List<LedgerRow> rowsWithPendingOrders(Collection<PendingOrder> pendingOrders) {
        Map<TargetId, List<OpenOrder>> pendingByTarget = new HashMap<>();
        Map<String, OpenOrder> open = openOrders();
        pendingOrders.stream()
                .filter(pendingOrder -> !open.containsKey(pendingOrder.command().orderId()))
                .forEach(pendingOrder -> pendingByTarget
                        .computeIfAbsent(pendingOrder.command().target(), absent -> new ArrayList<>())
                        .add(pendingOrder.asOpenOrder()));
        return rows.values().stream()
                .map(row -> addOrders(row, pendingByTarget.getOrDefault(row.target(), List.of())))
                .toList();
    }

    /**
     * Returns the command that updates the ledger from an announcement; empty if the ledger is up to date.
     *
     * @param fresh whether the announcement was made after the last order at the target had ended. An older one may
     *     list models that were unloaded since, and the ledger would reserve their memory until the target restarts.
     */
    Optional<ObserveTarget> ledgerUpdate(TargetAnnouncement announcement, boolean fresh) {
        LedgerRow row = rows.get(announcement.id());
        boolean unknown = row == null || row.incarnation() < announcement.incarnation();
        boolean differs = row != null
                && row.incarnation() == announcement.incarnation()
                && fresh
                && (row.capacityBytes() > announcement.memoryBytes()
                        || (row.enforcesFencing() && !announcement.enforcesFencing())
                        || announcement.contents().entrySet().stream()
                                .anyMatch(entry -> !covers(row, entry.getKey(), entry.getValue())));
        if (!unknown && !differs) {
            return Optional.empty();
        }
        return Optional.of(new ObserveTarget(
                announcement.id(),
                announcement.incarnation(),
                announcement.memoryBytes(),
                announcement.contents(),
                announcement.enforcesFencing()));
    }

    private static LedgerRow addOrders(LedgerRow row, List<OpenOrder> more) {
        if (more.isEmpty()) {
            return row;
        }
        List<OpenOrder> all = new ArrayList<>(row.openOrders());
        all.addAll(more);
        return new LedgerRow(
                row.target(), row.incarnation(), row.capacityBytes(), row.enforcesFencing(), row.holdings(), all);
    }

    private static boolean covers(LedgerRow row, ModelId model, LoadedModel loaded) {
        return row.holdings().stream()
                .anyMatch(holding -> holding.model().equals(model)
                        && holding.version() == loaded.version()
                        && holding.bytes() >= loaded.memoryBytes());
    }
}
