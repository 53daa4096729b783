package org.basilrill.coordination.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.placement.Site.Copy;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * All engines and models as one decision sees them. Leaves out targets that are not announced in the incarnation that
 * the ledger knows, so that the copies of a lost target are placed again. Not thread safe.
 */
final class Fleet {
    private final List<Site> sites = new ArrayList<>();
    private final Map<ModelId, ModelCopies> models = new TreeMap<>();
    private final List<Move> moves = new ArrayList<>();
    private int modelLoads;
    private int adapterLoads;

    Fleet(PlacementInput input) {
        input.rules().models().forEach((model, rule) -> model(model).rule(rule));
        input.rules().adapters().forEach((model, rule) -> model(model).rule(rule));
        Map<TargetId, TargetAnnouncement> announced = new HashMap<>();
        input.announcements().forEach(announcement -> announced.put(announcement.id(), announcement));
        for (LedgerRow row : input.rows()) {
            TargetAnnouncement announcement = announced.get(row.target());
            if (announcement != null
                    && announcement.service().isEmpty()
                    && announcement.incarnation() == row.incarnation()) {
                add(row, announcement, input);
            }
        }
        input.demand().forEach(this::demand);
        for (ModelCopies copies : models.values()) {
            double rate = copies.ratePerCopy();
            copies.copies().stream()
                    .filter(copy -> !copy.isUnloading())
                    .forEach(copy -> copy.site().addRate(rate));
        }
    }

    List<Site> sites() {
        return sites;
    }

    Collection<ModelCopies> models() {
        return models.values();
    }

    ModelCopies model(ModelId model) {
        return models.computeIfAbsent(model, ModelCopies::new);
    }

    List<Move> moves() {
        return moves;
    }

    int modelLoads() {
        return modelLoads;
    }

    int adapterLoads() {
        return adapterLoads;
    }

    void load(Site site, ModelCopies copies, int version, long bytes, MoveReason reason) {
        boolean adapter = copies.model().adapter().isPresent();
        Copy before = site.copy(copies.model());
        Copy copy = site.load(copies.model(), version, bytes);
        if (before == null) {
            copies.copies().add(copy);
        }
        site.addRate(copies.ratePerCopy());
        if (adapter) {
            adapterLoads++;
        } else {
            modelLoads++;
        }
        OrderKind kind = adapter ? OrderKind.LOAD_ADAPTER : OrderKind.LOAD_MODEL;
        moves.add(new Move(site.id(), site.incarnation(), kind, copies.model(), version, bytes, reason));
    }

    /** Unloads a copy, or the adapters on it first, as far as the target accepts orders now. */
    void unload(Copy copy, MoveReason reason) {
        List<Copy> adapters = adaptersOn(copy);
        List<Copy> first = adapters.isEmpty() ? List.of(copy) : adapters;
        for (Copy next : first) {
            Site site = next.site();
            if (!next.isUnloading() && site.accepts(next.model())) {
                site.unload(next);
                OrderKind kind = next.isAdapter() ? OrderKind.UNLOAD_ADAPTER : OrderKind.UNLOAD_MODEL;
                moves.add(new Move(site.id(), site.incarnation(), kind, next.model(), next.version(), 0, reason));
            }
        }
    }

    /** Returns the adapters that hold memory on top of the copy of a base model. */
    static List<Copy> adaptersOn(Copy copy) {
        if (copy.isAdapter()) {
            return List.of();
        }
        return copy.site().copies().stream()
                .filter(other -> other.isAdapter() && other.model().base().equals(copy.model()))
                .sorted((left, right) -> left.model().compareTo(right.model()))
                .toList();
    }

    private void add(LedgerRow row, TargetAnnouncement announcement, PlacementInput input) {
        Site site = new Site(
                announcement,
                row,
                !input.closed().contains(row.target()),
                input.settled().contains(row.target()),
                input.avoided().getOrDefault(row.target(), Set.of()));
        sites.add(site);
        site.copies().forEach(copy -> model(copy.model()).copies().add(copy));
        row.openOrders().forEach(order -> {
            modelLoads += order.kind() == OrderKind.LOAD_MODEL ? 1 : 0;
            adapterLoads += order.kind() == OrderKind.LOAD_ADAPTER ? 1 : 0;
        });
    }

    /** Counts the demand for an adapter for its base model too. */
    private void demand(ModelId model, ModelDemand demand) {
        if (models.containsKey(model)) {
            model(model).add(demand);
            if (model.adapter().isPresent() && models.containsKey(model.base())) {
                model(model.base()).add(demand);
            }
        }
    }
}
