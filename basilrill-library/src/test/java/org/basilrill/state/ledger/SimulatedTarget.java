package org.basilrill.state.ledger;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.ObserveTarget;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/** A target that executes each order id once in an incarnation and records its peak use of memory. */
final class SimulatedTarget {
    static final long CAPACITY = 100;

    private final TargetId id;
    private final boolean enforcesFencing;
    private final Map<ModelId, LoadedModel> contents = new HashMap<>();
    private final Map<ModelId, LoadedModel> unloaded = new HashMap<>();
    private final Map<String, OrderOutcome> executed = new HashMap<>();
    private long incarnation = 1;
    private long highestFencingNumber;
    private long peakBytes;

    SimulatedTarget(TargetId id, boolean enforcesFencing) {
        this.id = id;
        this.enforcesFencing = enforcesFencing;
    }

    TargetId id() {
        return id;
    }

    long incarnation() {
        return incarnation;
    }

    long usedBytes() {
        return contents.values().stream().mapToLong(LoadedModel::memoryBytes).sum();
    }

    long peakBytes() {
        return peakBytes;
    }

    OrderOutcome execute(OpenOrder order, boolean succeeds) {
        return Optional.ofNullable(executed.get(order.orderId())).orElseGet(() -> {
            OrderOutcome outcome = executeOnce(order, succeeds);
            executed.put(order.orderId(), outcome);
            return outcome;
        });
    }

    /**
     * Restarts the target, which keeps or loses its contents. The outcomes of earlier orders are lost.
     *
     * @param reloaded models that it had unloaded and loads again by itself
     */
    void restart(boolean keepsContents, List<ModelId> reloaded) {
        incarnation++;
        executed.clear();
        highestFencingNumber = 0;
        if (!keepsContents) {
            contents.clear();
        }
        reloaded.forEach(model ->
                Optional.ofNullable(unloaded.get(model)).ifPresent(before -> contents.putIfAbsent(model, before)));
    }

    ObserveTarget report() {
        return new ObserveTarget(id, incarnation, CAPACITY, contents, enforcesFencing);
    }

    private OrderOutcome executeOnce(OpenOrder order, boolean succeeds) {
        if (enforcesFencing && order.fencingNumber() < highestFencingNumber) {
            return OrderOutcome.REFUSED_STALE;
        }
        highestFencingNumber = Math.max(highestFencingNumber, order.fencingNumber());
        boolean load = order.kind() == OrderKind.LOAD_MODEL;
        // While a load runs, the old version and the new one are in memory together. A version that is already
        // resident, such as after a restart that kept the contents, is not loaded again.
        LoadedModel current = contents.get(order.model());
        boolean resident = current != null && current.version() == order.version();
        peakBytes = Math.max(peakBytes, usedBytes() + (load && !resident ? order.bytes() : 0));
        if (!succeeds) {
            return OrderOutcome.FAILED;
        }
        if (load && !resident) {
            unloaded.remove(order.model());
            contents.put(order.model(), new LoadedModel(order.version(), order.bytes(), true));
        }
        if (!load) {
            Optional.ofNullable(contents.remove(order.model()))
                    .ifPresent(removed -> unloaded.put(order.model(), removed));
        }
        return OrderOutcome.DONE;
    }
}
