package org.basilrill.state.ledger;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.Map;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.IntendOrder;
import org.basilrill.state.control.ControlCommand.ObserveTarget;
import org.basilrill.state.control.ControlCommand.ResolveOrder;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlResult.OrderReserved;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.ledger.LedgerRow.Holding;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;
import org.junit.jupiter.api.Test;

/** Guards the individual rules by which the memory ledger decides whether memory is free. */
class MemoryLedgerTest {
    private static final TargetId TARGET = new TargetId("t");
    private static final ModelId MODEL = new ModelId("m");
    private static final ModelId OTHER = new ModelId("n");

    private final MemoryLedger ledger = new MemoryLedger();

    @Test
    void anOrderThatDoesNotFitBesideOpenOrdersIsRefused() {
        observe(1, Map.of(), true);
        assertThat(intend(10, "a", OrderKind.LOAD_MODEL, MODEL, 60), is(new OrderReserved(10)));
        assertThat(code(intend(11, "b", OrderKind.LOAD_MODEL, OTHER, 41)), is(ErrorCode.MEMORY_EXCEEDED));
        assertThat(intend(12, "b", OrderKind.LOAD_MODEL, OTHER, 40), is(new OrderReserved(12)));
        assertThat(intend(13, "a", OrderKind.LOAD_MODEL, MODEL, 60), is(new OrderReserved(10)));
    }

    @Test
    void aTargetThatIgnoresFencingGetsOneOrderAtATime() {
        observe(1, Map.of(), false);
        intend(10, "a", OrderKind.LOAD_MODEL, MODEL, 10);
        assertThat(code(intend(11, "b", OrderKind.LOAD_MODEL, OTHER, 10)), is(ErrorCode.TARGET_ORDER_OUTSTANDING));
        ledger.resolve(new ResolveOrder("a", OrderOutcome.FAILED));
        assertThat(intend(12, "b", OrderKind.LOAD_MODEL, OTHER, 10), is(new OrderReserved(12)));
    }

    @Test
    void aRestartKeepsOpenOrdersReservedAndCountsTheReportedContents() {
        observe(1, Map.of(), true);
        intend(10, "a", OrderKind.LOAD_MODEL, MODEL, 60);
        observe(2, Map.of(OTHER, new LoadedModel(1, 30, true)), true);
        assertThat(row().freeBytes(), is(10L));
        assertThat(row().openOrders().size(), is(1));
        observe(1, Map.of(), true);
        assertThat("a late report of the old incarnation changes nothing", row().freeBytes(), is(10L));
    }

    @Test
    void aDelayedReportNeverReleasesMemory() {
        observe(1, Map.of(), true);
        intend(10, "a", OrderKind.LOAD_MODEL, MODEL, 60);
        ledger.resolve(new ResolveOrder("a", OrderOutcome.DONE));
        observe(1, Map.of(), true);
        assertThat(row().holdings(), contains(new Holding(MODEL, 1, 60)));
    }

    @Test
    void anUnloadReleasesMemoryOnlyOnConfirmationAndInItsOwnIncarnation() {
        observe(1, Map.of(MODEL, new LoadedModel(1, 60, true)), true);
        intend(10, "a", OrderKind.UNLOAD_MODEL, MODEL, 0);
        assertThat(row().freeBytes(), is(40L));
        observe(2, Map.of(MODEL, new LoadedModel(1, 60, true)), true);
        ledger.resolve(new ResolveOrder("a", OrderOutcome.DONE));
        assertThat("the unload may have run before the restart", row().freeBytes(), is(40L));
        ledger.intend(11, new IntendOrder(TARGET, 2, "b", OrderKind.UNLOAD_MODEL, MODEL, 1, 0));
        ledger.resolve(new ResolveOrder("b", OrderOutcome.DONE));
        assertThat(row().holdings(), is(empty()));
    }

    @Test
    void aLoadThatMayHaveRunBeforeARestartReplacesNothing() {
        observe(1, Map.of(), true);
        ledger.intend(10, new IntendOrder(TARGET, 1, "a", OrderKind.LOAD_MODEL, MODEL, 2, 30));
        observe(2, Map.of(MODEL, new LoadedModel(1, 60, true)), true);
        ledger.resolve(new ResolveOrder("a", OrderOutcome.DONE));
        assertThat(row().holdings(), contains(new Holding(MODEL, 1, 60), new Holding(MODEL, 2, 30)));
    }

    @Test
    void aConfirmedLoadReplacesTheOlderVersion() {
        observe(1, Map.of(MODEL, new LoadedModel(1, 60, true)), true);
        ledger.intend(10, new IntendOrder(TARGET, 1, "a", OrderKind.LOAD_MODEL, MODEL, 2, 30));
        assertThat("both versions count while the order is open", row().freeBytes(), is(10L));
        ledger.resolve(new ResolveOrder("a", OrderOutcome.DONE));
        assertThat(row().holdings(), contains(new Holding(MODEL, 2, 30)));
    }

    @Test
    void twoOrdersForOneModelAreNeverOpenTogether() {
        observe(1, Map.of(), true);
        intend(10, "a", OrderKind.UNLOAD_MODEL, MODEL, 0);
        assertThat(code(intend(11, "b", OrderKind.LOAD_MODEL, MODEL, 10)), is(ErrorCode.TARGET_ORDER_OUTSTANDING));
    }

    @Test
    void aLoadReportedAsFailedAndLaterAsDoneCountsOnce() {
        observe(1, Map.of(), true);
        intend(10, "a", OrderKind.LOAD_MODEL, MODEL, 60);
        ledger.resolve(new ResolveOrder("a", OrderOutcome.FAILED));
        assertThat(row().freeBytes(), is(100L));
        ledger.resolve(new ResolveOrder("a", OrderOutcome.DONE));
        ledger.resolve(new ResolveOrder("a", OrderOutcome.DONE));
        assertThat(row().freeBytes(), is(40L));
    }

    @Test
    void anUnloadIsAcceptedAlthoughTheTargetExceedsItsCapacity() {
        observe(1, Map.of(MODEL, new LoadedModel(1, 160, true)), true);
        assertThat(row().freeBytes(), is(0L));
        assertThat(intend(10, "a", OrderKind.UNLOAD_MODEL, MODEL, 0), is(new OrderReserved(10)));
    }

    @Test
    void anOrderForAnotherIncarnationIsRefused() {
        assertThat(code(intend(9, "a", OrderKind.LOAD_MODEL, MODEL, 1)), is(ErrorCode.NO_TARGET));
        observe(2, Map.of(), true);
        assertThat(code(intend(10, "a", OrderKind.LOAD_MODEL, MODEL, 1)), is(ErrorCode.NO_TARGET));
    }

    private void observe(long incarnation, Map<ModelId, LoadedModel> contents, boolean enforcesFencing) {
        ledger.observe(new ObserveTarget(TARGET, incarnation, 100, contents, enforcesFencing));
    }

    private ControlResult intend(long index, String orderId, OrderKind kind, ModelId model, long bytes) {
        return ledger.intend(index, new IntendOrder(TARGET, 1, orderId, kind, model, 1, bytes));
    }

    private LedgerRow row() {
        return ledger.row(TARGET).orElseThrow();
    }

    private static ErrorCode code(ControlResult result) {
        return ((Refused) result).code();
    }
}
