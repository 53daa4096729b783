package org.basilrill.coordination.placement;

import org.basilrill.state.control.ControlCommand.IntendOrder;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;

/**
 * An order that was submitted to the control log and is not in the ledger of this replica yet. Immutable and thread
 * safe.
 *
 * @param fencingNumber index in the control log; {@code Long.MAX_VALUE} until the result of the command arrives
 */
record PendingOrder(IntendOrder command, long fencingNumber) {
    OpenOrder asOpenOrder() {
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
}
