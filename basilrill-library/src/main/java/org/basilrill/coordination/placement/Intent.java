package org.basilrill.coordination.placement;

import org.basilrill.state.control.ControlCommand.IntendOrder;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;

/**
 * An order whose intent was submitted and is not in the ledger of this replica yet. Immutable and thread safe.
 *
 * @param fencingNumber log index once the log answered; {@code Long.MAX_VALUE} before
 */
record Intent(IntendOrder command, long fencingNumber) {
    OpenOrder order() {
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
