package org.basilrill.state.ledger;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.ObserveTarget;
import org.basilrill.state.ledger.LedgerRow.Holding;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;
import org.basilrill.thrift.control.HoldingState;
import org.basilrill.thrift.control.LedgerRowState;

/**
 * Accelerator memory that models and adapters occupy at one target. Observations arrive late and in any order, so
 * within one incarnation they only add memory; only a confirmed order or a new incarnation releases memory. Not thread
 * safe.
 */
final class TargetMemory {
    private final TargetId target;
    private final TreeMap<ModelId, TreeMap<Integer, Long>> holdings = new TreeMap<>();
    private long incarnation;
    private long capacityBytes;
    private boolean enforcesFencing;

    TargetMemory(ObserveTarget first) {
        target = first.target();
        restart(first);
    }

    TargetMemory(LedgerRowState state) {
        target = new TargetId(state.getTarget());
        incarnation = state.getIncarnation();
        capacityBytes = state.getCapacityBytes();
        enforcesFencing = state.isEnforcesFencing();
        state.getHoldings()
                .forEach(holding ->
                        recordHolding(new ModelId(holding.getModel()), holding.getVersion(), holding.getBytes()));
    }

    long incarnation() {
        return incarnation;
    }

    boolean enforcesFencing() {
        return enforcesFencing;
    }

    void observe(ObserveTarget command) {
        if (command.incarnation() < incarnation) {
            return;
        }
        if (command.incarnation() > incarnation) {
            restart(command);
            return;
        }
        capacityBytes = Math.min(capacityBytes, command.memoryBytes());
        enforcesFencing &= command.enforcesFencing();
        recordReported(command.contents());
    }

    /** Adds a confirmed load. It replaces other versions only if it certainly ran in the current incarnation. */
    void recordLoad(OpenOrder order) {
        TreeMap<Integer, Long> versions = holdings.get(order.model());
        if (versions != null && order.targetIncarnation() == incarnation) {
            versions.keySet().removeIf(version -> version != order.version());
        }
        recordHolding(order.model(), order.version(), order.bytes());
    }

    /** Releases the memory of a confirmed unload; none if the unload may have run in an earlier incarnation. */
    void recordUnload(OpenOrder order) {
        if (order.targetIncarnation() == incarnation) {
            holdings.remove(order.model());
        }
    }

    LedgerRow row(Collection<OpenOrder> openOrders) {
        List<Holding> held = holdings.entrySet().stream()
                .flatMap(entry -> entry.getValue().entrySet().stream()
                        .map(version -> new Holding(entry.getKey(), version.getKey(), version.getValue())))
                .toList();
        return new LedgerRow(target, incarnation, capacityBytes, enforcesFencing, held, List.copyOf(openOrders));
    }

    LedgerRowState state() {
        List<HoldingState> held = row(List.of()).holdings().stream()
                .map(holding -> new HoldingState(holding.model().value(), holding.version(), holding.bytes()))
                .toList();
        return new LedgerRowState(target.value(), incarnation, capacityBytes, enforcesFencing, held);
    }

    private void restart(ObserveTarget command) {
        incarnation = command.incarnation();
        capacityBytes = command.memoryBytes();
        enforcesFencing = command.enforcesFencing();
        holdings.clear();
        recordReported(command.contents());
    }

    private void recordReported(Map<ModelId, LoadedModel> contents) {
        contents.forEach((model, loaded) -> recordHolding(model, loaded.version(), Math.max(0, loaded.memoryBytes())));
    }

    private void recordHolding(ModelId model, int version, long bytes) {
        holdings.computeIfAbsent(model, key -> new TreeMap<>()).merge(version, bytes, Math::max);
    }
}
