package org.basilrill.state.ledger;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.Choices;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlCommand.IntendOrder;
import org.basilrill.state.control.ControlCommand.ResolveOrder;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlResult.OrderReserved;
import org.basilrill.state.control.MachineHarness;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.ledger.LedgerRow.Holding;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;

/**
 * Guards accelerator memory against overcommitment. The oracle is the memory that simulated targets use while commands,
 * orders, outcomes and reports are lost, delayed, repeated and reordered, targets restart and replicas start from
 * snapshots.
 */
class MemoryLedgerPropertyTest {
    @Property(tries = 1500, seed = "4241")
    void memoryIsNeverOvercommittedAndCanAlwaysBeFreedAgain(@ForAll("choices") List<Integer> choices) {
        LedgerSimulation simulation = new LedgerSimulation();
        for (int step = 0; step < choices.size(); step++) {
            simulation.step(choices.get(step), step);
            simulation.checkMemory();
        }
        simulation.resolveAndUnloadEverything();
    }

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Choices.sequences(20, 250);
    }

    /** Two simulated targets, the commands applied so far and the commands that are delayed. */
    private static final class LedgerSimulation {
        private final MachineHarness harness = new MachineHarness();
        private final List<SimulatedTarget> targets = List.of(
                new SimulatedTarget(new TargetId("fencing"), true),
                new SimulatedTarget(new TargetId("ignoring"), false));
        private final List<ControlCommand> applied = new ArrayList<>();
        private final List<ControlCommand> delayed = new ArrayList<>();

        private LedgerSimulation() {
            targets.forEach(target -> apply(target.report()));
        }

        private void step(int choice, int step) {
            SimulatedTarget target = targets.get(choice / 16 % 2);
            int value = choice / 32;
            switch (choice % 16) {
                case 0:
                    harness.restart();
                    break;
                case 1:
                    restart(target, value % 2 == 0, value / 2 % 2 == 0);
                    break;
                case 2:
                    delayed.add(target.report());
                    break;
                case 3:
                case 4:
                    applyDelayed(value);
                    break;
                case 5:
                    apply(applied.get(value % applied.size()));
                    break;
                case 6:
                case 7:
                case 8:
                case 9:
                    intend(target, value, "order" + step);
                    break;
                case 10:
                case 11:
                    deliver(target, value, false);
                    break;
                default:
                    deliver(target, value, true);
                    break;
            }
        }

        private void checkMemory() {
            for (SimulatedTarget target : targets) {
                LedgerRow row = harness.machine().ledgerRow(target.id()).orElseThrow();
                assertThat(target.peakBytes(), is(lessThanOrEqualTo(SimulatedTarget.CAPACITY)));
                assertThat(target.usedBytes(), is(lessThanOrEqualTo(row.reservedBytes())));
                int limit = row.enforcesFencing() ? Integer.MAX_VALUE : 1;
                assertThat(row.openOrders().size(), is(lessThanOrEqualTo(limit)));
            }
        }

        /** Restarts a target; it accepts orders only after it has announced itself. Its open connections are lost. */
        private void restart(SimulatedTarget target, boolean keepsContents, boolean reloads) {
            // An outcome carries no incarnation, so the controller drops responses of an earlier one; a load that is
            // reported as done only adds memory and may be applied late.
            delayed.removeIf(command -> command instanceof ResolveOrder resolve
                    && resolve.outcome() != OrderOutcome.DONE
                    && openOrders(target).stream()
                            .anyMatch(order -> order.orderId().equals(resolve.orderId())));
            List<ModelId> unloading = openOrders(target).stream()
                    .filter(order -> reloads && order.kind() == OrderKind.UNLOAD_MODEL)
                    .map(OpenOrder::model)
                    .toList();
            target.restart(keepsContents, unloading);
            apply(target.report());
        }

        private void intend(SimulatedTarget target, int value, String orderId) {
            OrderKind kind = value % 3 == 0 ? OrderKind.UNLOAD_MODEL : OrderKind.LOAD_MODEL;
            long bytes = kind == OrderKind.UNLOAD_MODEL ? 0 : 10 + value / 3 % 60;
            ModelId model = new ModelId("m" + value / 180 % 4);
            long incarnation = target.incarnation() - (value / 720 % 8 == 7 ? 1 : 0);
            IntendOrder command =
                    new IntendOrder(target.id(), incarnation, orderId, kind, model, 1 + value / 5760 % 2, bytes);
            if (value % 5 == 0) {
                delayed.add(command);
            } else {
                apply(command);
            }
        }

        /** Delivers an open order, for the first time or again, and loses, delays or applies its outcome. */
        private void deliver(SimulatedTarget target, int value, boolean outcomeArrives) {
            List<OpenOrder> open = openOrders(target);
            if (open.isEmpty()) {
                return;
            }
            OpenOrder order = open.get(value % open.size());
            OrderOutcome outcome = target.execute(order, value / 7 % 5 != 0);
            ResolveOrder command = new ResolveOrder(order.orderId(), outcome);
            if (outcomeArrives) {
                apply(command);
            } else if (value / 35 % 2 == 0) {
                delayed.add(command);
            }
        }

        /** Applies one delayed command; half of the time it stays delayed and may be applied again. */
        private void applyDelayed(int value) {
            if (delayed.isEmpty()) {
                return;
            }
            ControlCommand command = delayed.get(value % delayed.size());
            if (value / 50 % 2 == 0) {
                delayed.remove(command);
            }
            apply(command);
        }

        private ControlResult apply(ControlCommand command) {
            ControlResult result = harness.apply(command);
            applied.add(command);
            var state = harness.state();
            assertThat("a command applied twice gives the same result", harness.apply(command), is(result));
            assertThat("a command applied twice gives the same state", harness.state(), is(state));
            return result;
        }

        private List<OpenOrder> openOrders(SimulatedTarget target) {
            return harness.machine().ledgerRow(target.id()).orElseThrow().openOrders();
        }

        private void resolveAndUnloadEverything() {
            for (SimulatedTarget target : targets) {
                openOrders(target).forEach(order -> execute(target, order));
                List<ModelId> residentModels = harness.machine().ledgerRow(target.id()).stream()
                        .flatMap(row -> row.holdings().stream())
                        .map(Holding::model)
                        .distinct()
                        .toList();
                Stream<IntendOrder> unloads = residentModels.stream()
                        .map(model -> new IntendOrder(
                                target.id(),
                                target.incarnation(),
                                "unload " + model + " at " + target.id(),
                                OrderKind.UNLOAD_MODEL,
                                model,
                                1,
                                0));
                unloads.forEach(unload -> {
                    assertThat(apply(unload), is(instanceOf(OrderReserved.class)));
                    openOrders(target).forEach(order -> execute(target, order));
                });
                LedgerRow row = harness.machine().ledgerRow(target.id()).orElseThrow();
                assertThat("no reservation is left behind", row.reservedBytes(), is(0L));
                assertThat(target.usedBytes(), is(0L));
            }
        }

        private void execute(SimulatedTarget target, OpenOrder order) {
            apply(new ResolveOrder(order.orderId(), target.execute(order, true)));
        }
    }
}
