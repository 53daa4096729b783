package org.basilrill.state.ledger;

import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.IntendOrder;
import org.basilrill.state.control.ControlCommand.ObserveTarget;
import org.basilrill.state.control.ControlCommand.ResolveOrder;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlResult.Done;
import org.basilrill.state.control.ControlResult.OrderReserved;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.control.WireEnums;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.thrift.control.LedgerState;
import org.basilrill.thrift.control.TargetOrderState;

/**
 * Accounts for the accelerator memory of every target. A target order reserves its memory before it may be sent, and
 * the memory stays reserved until the outcome is known. No order makes the occupied and reserved memory of a target
 * exceed its capacity; only the contents that a target reports may exceed it. Not thread safe.
 */
public final class MemoryLedger {
    /**
     * Number of resolved orders retained to recognise delayed duplicates of their commands, which are seconds late;
     * about an hour of 4 orders/s. A duplicate that is later still reserves memory until the order is resolved again.
     */
    private static final int MAXIMUM_RESOLVED = 16_384;

    private final TreeMap<TargetId, TargetMemory> targetMemories = new TreeMap<>();
    private final LinkedHashMap<String, OpenOrder> open = new LinkedHashMap<>();
    private final LinkedHashMap<String, Resolved> resolved = new LinkedHashMap<>();

    /**
     * Reserves memory for a target order.
     *
     * @param index log index of the command, which becomes the fencing number
     */
    public ControlResult intend(long index, IntendOrder command) {
        Optional<OpenOrder> known = Optional.ofNullable(open.get(command.orderId()))
                .or(() -> Optional.ofNullable(resolved.get(command.orderId())).map(Resolved::order));
        if (known.isPresent()) {
            return known.get().equals(order(known.get().fencingNumber(), command))
                    ? new OrderReserved(known.get().fencingNumber())
                    : new Refused(ErrorCode.ORDER_MISMATCH, "the order id was used for a different order");
        }
        if (command.bytes() < 0) {
            return new Refused(ErrorCode.MALFORMED_REQUEST, "an order cannot reserve negative memory");
        }
        TargetMemory memory = targetMemories.get(command.target());
        if (memory == null || memory.incarnation() != command.targetIncarnation()) {
            return new Refused(ErrorCode.NO_TARGET, "this incarnation of the target is not the one in the ledger");
        }
        LedgerRow row = row(command.target(), memory);
        Optional<OpenOrder> conflicting = conflictingOrder(row, command.model());
        if (conflicting.isPresent()) {
            return new Refused(
                    ErrorCode.TARGET_ORDER_OUTSTANDING,
                    "order " + conflicting.get().orderId() + " has no known outcome");
        }
        // An order that needs no memory, such as an unload, must be accepted even if the target exceeds its capacity.
        if (command.bytes() > 0 && command.bytes() > row.freeBytes()) {
            return new Refused(
                    ErrorCode.MEMORY_EXCEEDED,
                    String.format("%d bytes needed, %d bytes free", command.bytes(), row.freeBytes()));
        }
        open.put(command.orderId(), order(index, command));
        return new OrderReserved(index);
    }

    /** Records the outcome of a target order and adjusts the memory that the target's contents occupy. */
    public ControlResult resolve(ResolveOrder command) {
        OpenOrder order = open.remove(command.orderId());
        if (order != null) {
            applyOutcome(order, command.outcome());
            recordResolved(order, command.outcome());
            return new Done();
        }
        Resolved earlier = resolved.get(command.orderId());
        // A target that restarted may have run a repeated order again, with another outcome. If that was a load, its
        // memory counts.
        if (earlier != null && earlier.outcome() != OrderOutcome.DONE && command.outcome() == OrderOutcome.DONE) {
            if (isLoad(earlier.order())) {
                applyOutcome(earlier.order(), OrderOutcome.DONE);
            }
            resolved.put(command.orderId(), new Resolved(earlier.order(), OrderOutcome.DONE));
        }
        return new Done();
    }

    /** Reconciles the ledger with the report of a target. A report never closes an open order. */
    public ControlResult observe(ObserveTarget command) {
        TargetMemory memory = targetMemories.get(command.target());
        if (memory == null) {
            targetMemories.put(command.target(), new TargetMemory(command));
        } else {
            memory.observe(command);
        }
        return new Done();
    }

    /** Returns the row of one target; empty if it was never observed. */
    public Optional<LedgerRow> row(TargetId target) {
        return Optional.ofNullable(targetMemories.get(target)).map(memory -> row(target, memory));
    }

    /** Returns the rows of all targets, ordered by name. */
    public List<LedgerRow> rows() {
        return targetMemories.entrySet().stream()
                .map(entry -> row(entry.getKey(), entry.getValue()))
                .toList();
    }

    /** Returns the encoded ledger; equal ledgers have equal encodings. */
    public LedgerState state() {
        return new LedgerState(
                targetMemories.values().stream().map(TargetMemory::state).toList(),
                open.values().stream().map(MemoryLedger::orderState).toList(),
                resolved.values().stream()
                        .map(entry -> orderState(entry.order()).setOutcome(WireEnums.toWire(entry.outcome())))
                        .toList());
    }

    /** Replaces the ledger by an encoded one. */
    public void restore(LedgerState state) {
        targetMemories.clear();
        open.clear();
        resolved.clear();
        state.getRows().forEach(row -> targetMemories.put(new TargetId(row.getTarget()), new TargetMemory(row)));
        state.getOpenOrders().forEach(order -> open.put(order.getOrderId(), order(order)));
        state.getResolvedOrders()
                .forEach(order -> resolved.put(
                        order.getOrderId(), new Resolved(order(order), WireEnums.fromWire(order.getOutcome()))));
    }

    /**
     * Returns the open order that excludes a further one: any order of a target that ignores fencing numbers, or one
     * for the same model, because two outcomes for one model could be applied in the wrong sequence.
     */
    private static Optional<OpenOrder> conflictingOrder(LedgerRow row, ModelId model) {
        return row.openOrders().stream()
                .filter(order -> !row.enforcesFencing() || order.model().equals(model))
                .findFirst();
    }

    private void applyOutcome(OpenOrder order, OrderOutcome outcome) {
        TargetMemory memory = targetMemories.get(order.target());
        if (outcome != OrderOutcome.DONE || memory == null) {
            return;
        }
        if (isLoad(order)) {
            memory.recordLoad(order);
        }
        if (isUnload(order)) {
            memory.recordUnload(order);
        }
    }

    private void recordResolved(OpenOrder order, OrderOutcome outcome) {
        resolved.put(order.orderId(), new Resolved(order, outcome));
        if (resolved.size() > MAXIMUM_RESOLVED) {
            Iterator<Map.Entry<String, Resolved>> oldest = resolved.entrySet().iterator();
            oldest.next();
            oldest.remove();
        }
    }

    private LedgerRow row(TargetId target, TargetMemory memory) {
        return memory.row(open.values().stream()
                .filter(order -> order.target().equals(target))
                .sorted(Comparator.comparingLong(OpenOrder::fencingNumber))
                .toList());
    }

    private static boolean isLoad(OpenOrder order) {
        switch (order.kind()) {
            case LOAD_MODEL:
            case LOAD_ADAPTER:
                return true;
            default:
                return false;
        }
    }

    private static boolean isUnload(OpenOrder order) {
        switch (order.kind()) {
            case UNLOAD_MODEL:
            case UNLOAD_ADAPTER:
                return true;
            default:
                return false;
        }
    }

    private static OpenOrder order(long fencingNumber, IntendOrder command) {
        return new OpenOrder(
                command.orderId(),
                command.target(),
                command.targetIncarnation(),
                fencingNumber,
                command.kind(),
                command.model(),
                command.version(),
                command.bytes());
    }

    private static OpenOrder order(TargetOrderState state) {
        return new OpenOrder(
                state.getOrderId(),
                new TargetId(state.getTarget()),
                state.getTargetIncarnation(),
                state.getFencingNumber(),
                WireEnums.fromWire(state.getKind()),
                new ModelId(state.getModel()),
                state.getVersion(),
                state.getBytes());
    }

    private static TargetOrderState orderState(OpenOrder order) {
        return new TargetOrderState(
                order.orderId(),
                order.target().value(),
                order.targetIncarnation(),
                order.fencingNumber(),
                WireEnums.toWire(order.kind()),
                order.model().value(),
                order.version(),
                order.bytes());
    }

    /** A target order with its outcome. */
    private record Resolved(OpenOrder order, OrderOutcome outcome) {
        private Resolved {
            Objects.requireNonNull(order);
        }
    }
}
