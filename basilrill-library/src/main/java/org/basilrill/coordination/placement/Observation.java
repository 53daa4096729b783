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

/**
 * One look at the ledger and the announcements, joined by target. Immutable once built; the targets are in the order of
 * their names.
 */
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

    /** Returns what the target announces in the incarnation that the ledger knows. */
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

    /** Returns the rows with the intents that are not in the ledger yet, so that they are not decided twice. */
    List<LedgerRow> rowsWith(Collection<Intent> intents) {
        Map<TargetId, List<OpenOrder>> pending = new HashMap<>();
        Map<String, OpenOrder> open = openOrders();
        intents.stream()
                .filter(intent -> !open.containsKey(intent.command().orderId()))
                .forEach(intent -> pending.computeIfAbsent(intent.command().target(), absent -> new ArrayList<>())
                        .add(intent.order()));
        return rows.values().stream()
                .map(row -> withOrders(row, pending.getOrDefault(row.target(), List.of())))
                .toList();
    }

    /**
     * Returns the command that brings the ledger up to date with an announcement, if it is not.
     *
     * @param settled whether the announcement was made after the last order there had ended. An older one may list what
     *     was unloaded since, and the ledger would hold that memory until the target restarts.
     */
    Optional<ObserveTarget> correction(TargetAnnouncement announcement, boolean settled) {
        LedgerRow row = rows.get(announcement.id());
        boolean unknown = row == null || row.incarnation() < announcement.incarnation();
        boolean differs = row != null
                && row.incarnation() == announcement.incarnation()
                && settled
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

    private static LedgerRow withOrders(LedgerRow row, List<OpenOrder> more) {
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
