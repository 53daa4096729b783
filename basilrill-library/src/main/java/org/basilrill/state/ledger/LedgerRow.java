package org.basilrill.state.ledger;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.OrderKind;

/**
 * Accelerator memory of one target as the control log accounts for it. Immutable and thread safe.
 *
 * @param incarnation latest incarnation observed
 * @param capacityBytes smallest accelerator memory that this incarnation reported
 * @param enforcesFencing whether the target refuses outdated orders, so that several may be open at once
 * @param holdings memory that models and adapters occupy, or may occupy
 * @param openOrders target orders without a known outcome, sorted by fencing number
 */
public record LedgerRow(
        TargetId target,
        long incarnation,
        long capacityBytes,
        boolean enforcesFencing,
        List<Holding> holdings,
        List<OpenOrder> openOrders) {
    public LedgerRow {
        holdings = List.copyOf(holdings);
        openOrders = List.copyOf(openOrders);
    }

    /** Returns the bytes that are occupied or reserved; saturates at {@code Long.MAX_VALUE}. */
    public long reservedBytes() {
        long occupied = holdings.stream().mapToLong(Holding::bytes).reduce(0, LedgerRow::saturatedSum);
        return openOrders.stream().mapToLong(OpenOrder::bytes).reduce(occupied, LedgerRow::saturatedSum);
    }

    /** Returns the bytes that a new order may reserve; 0 if the target exceeds its capacity. */
    public long freeBytes() {
        return Math.max(0, capacityBytes - reservedBytes());
    }

    /** Returns the memory that all versions of a model or adapter occupy; empty if there is none. */
    public Optional<Long> occupiedBytes(ModelId model) {
        return holdings.stream()
                .filter(holding -> holding.model().equals(model))
                .map(Holding::bytes)
                .reduce(LedgerRow::saturatedSum);
    }

    /** Memory that one version of a model or adapter occupies. */
    public record Holding(ModelId model, int version, long bytes) {}

    /**
     * A target order whose outcome is not known.
     *
     * @param targetIncarnation incarnation of the target when the order was committed
     * @param bytes memory reserved until the outcome is known
     */
    public record OpenOrder(
            String orderId,
            TargetId target,
            long targetIncarnation,
            long fencingNumber,
            OrderKind kind,
            ModelId model,
            int version,
            long bytes) {}

    private static long saturatedSum(long left, long right) {
        return left > Long.MAX_VALUE - right ? Long.MAX_VALUE : left + right;
    }
}
