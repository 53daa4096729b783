package org.basilrill.scaffold.measure;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.placement.DemandAggregator;
import org.basilrill.coordination.placement.PlacementInput;
import org.basilrill.coordination.placement.PlacementMessage.DemandReport;
import org.basilrill.coordination.placement.PlacementMessage.ReportedDemand;
import org.basilrill.coordination.placement.PlacementOrder;
import org.basilrill.coordination.placement.PlacementPlan;
import org.basilrill.coordination.placement.PlacementPlanner;
import org.basilrill.coordination.placement.PlacementSettings;
import org.basilrill.scaffold.measure.PlacementSimulation.Copy;
import org.basilrill.scaffold.measure.PlacementSimulation.SimulatedModel;
import org.basilrill.scaffold.measure.PlacementSimulation.Worker;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.LedgerRow.Holding;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/** The placement policies that {@link PlacementMoves} compares. Not thread safe. */
final class PlacementPolicies {
    private PlacementPolicies() {}

    /** A placement policy, run once per second of virtual time. */
    @FunctionalInterface
    interface Policy {
        /** Executes the loads and unloads of one second; returns the number of loads delayed by the store limits. */
        int step();
    }

    /** Returns a policy that keeps the initial placement, which follows the mean demand. */
    static Policy staticPlacement() {
        return () -> 0;
    }

    /**
     * Returns a policy that loads another copy of each model that has queued demand and no copy loading. To free
     * memory, it evicts the least recently used copies of one worker.
     */
    static Policy leastRecentlyUsed(PlacementSimulation simulation) {
        return () -> {
            int waiting = 0;
            List<SimulatedModel> backlogged = simulation.models().stream()
                    .filter(model -> model.backlog() > 0 && !isLoading(simulation, model))
                    .sorted(Comparator.comparingDouble(model -> -model.backlog()))
                    .toList();
            for (SimulatedModel model : backlogged) {
                if (simulation.storeTokens() < 1) {
                    waiting++;
                } else {
                    replaceLeastRecentlyUsed(simulation, model);
                }
            }
            return waiting;
        };
    }

    private static boolean isLoading(PlacementSimulation simulation, SimulatedModel model) {
        return simulation.workers().stream()
                .map(worker -> worker.copies().get(model.id()))
                .anyMatch(copy -> copy != null && !copy.ready());
    }

    private static void replaceLeastRecentlyUsed(PlacementSimulation simulation, SimulatedModel model) {
        Optional<Worker> worker = simulation.workers().stream()
                .filter(candidate -> !candidate.copies().containsKey(model.id()))
                .min(Comparator.comparingLong((Worker candidate) -> candidate.freeBytes() >= model.bytes()
                                ? -1
                                : candidate.copies().values().stream()
                                        .mapToLong(Copy::lastUsedNanos)
                                        .min()
                                        .orElse(0))
                        .thenComparing(Worker::id));
        worker.ifPresent(found -> {
            List<Copy> evictionCandidates = found.copies().values().stream()
                    .filter(Copy::ready)
                    .sorted(Comparator.comparingLong(Copy::lastUsedNanos))
                    .toList();
            for (Copy copy : evictionCandidates) {
                if (found.freeBytes() >= model.bytes()) {
                    break;
                }
                simulation.unload(found, copy.model().id());
            }
            simulation.load(found, model);
        });
    }

    /** The policy of the {@link PlacementPlanner}, with demand averaged by a {@link DemandAggregator}. */
    static final class PlannerPolicy implements Policy {
        private final PlacementSimulation simulation;
        private final Rules rules;
        private final PlacementPlanner planner = new PlacementPlanner(PlacementSettings.defaults());
        private final DemandAggregator demandAggregator;
        private final Map<ModelId, Double> cumulativeTokens = new HashMap<>();
        private final Map<ModelId, SimulatedModel> models = new HashMap<>();
        private final Map<TargetId, Worker> workers = new HashMap<>();
        private long sequence;
        private long decisionNanos;

        PlannerPolicy(PlacementSimulation simulation) {
            this.simulation = simulation;
            rules = simulation.rules();
            demandAggregator = new DemandAggregator(simulation.time());
            simulation.models().forEach(model -> models.put(model.id(), model));
            simulation.workers().forEach(worker -> workers.put(worker.id(), worker));
        }

        @Override
        public int step() {
            List<ReportedDemand> reported = new ArrayList<>();
            for (SimulatedModel model : simulation.models()) {
                double total = cumulativeTokens.merge(model.id(), model.rate(), Double::sum);
                boolean unplaced = simulation.workers().stream()
                        .noneMatch(worker -> worker.copies().containsKey(model.id()));
                reported.add(new ReportedDemand(model.id(), (long) total, unplaced ? 1 : 0));
            }
            demandAggregator.received(new InstanceId("entry"), new DemandReport(1, ++sequence, reported));
            PlacementInput input = input();
            long before = System.nanoTime();
            PlacementPlan plan = planner.plan(input);
            decisionNanos = System.nanoTime() - before;
            plan.orders().forEach(this::execute);
            return (int) plan.waitingLoads().stream()
                    .filter(load -> load.obstacle() == PlacementPlan.Obstacle.STORE_LIMIT)
                    .count();
        }

        /** Returns the wall-clock time of the last planner run, without preparing its input. */
        long decisionNanos() {
            return decisionNanos;
        }

        private void execute(PlacementOrder order) {
            Worker worker = workers.get(order.target());
            if (order.kind() == OrderKind.UNLOAD_MODEL) {
                simulation.unload(worker, order.model());
            } else {
                simulation.load(worker, models.get(order.model()));
            }
        }

        private PlacementInput input() {
            List<LedgerRow> rows = new ArrayList<>();
            List<TargetAnnouncement> announcements = new ArrayList<>();
            Set<TargetId> settled = new HashSet<>();
            for (Worker worker : simulation.workers()) {
                List<Holding> holdings = new ArrayList<>();
                List<OpenOrder> open = new ArrayList<>();
                Map<ModelId, LoadedModel> contents = new HashMap<>();
                worker.copies().forEach((model, copy) -> {
                    long bytes = copy.model().bytes();
                    contents.put(model, new LoadedModel(1, bytes, copy.ready()));
                    if (copy.ready()) {
                        holdings.add(new Holding(model, 1, bytes));
                    } else {
                        open.add(new OpenOrder(
                                worker.id() + "-" + model, worker.id(), 1, 1, OrderKind.LOAD_MODEL, model, 1, bytes));
                    }
                });
                rows.add(new LedgerRow(worker.id(), 1, PlacementSimulation.WORKER_BYTES, true, holdings, open));
                announcements.add(announcement(worker, contents));
                if (open.isEmpty()) {
                    settled.add(worker.id());
                }
            }
            return new PlacementInput(
                    rules,
                    rows,
                    announcements,
                    demandAggregator.demand(),
                    Set.of(),
                    settled,
                    Map.of(),
                    simulation.storeTokens());
        }

        private TargetAnnouncement announcement(Worker worker, Map<ModelId, LoadedModel> contents) {
            return new TargetAnnouncement(
                    worker.id(),
                    1,
                    sequence,
                    "127.0.0.1",
                    1,
                    worker.dataCentre(),
                    Optional.empty(),
                    2000,
                    PlacementSimulation.WORKER_BYTES,
                    contents,
                    Set.of(),
                    32,
                    new TargetAnnouncement.Load(0, 0),
                    true,
                    false,
                    Optional.empty(),
                    0);
        }
    }
}
