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
import org.basilrill.coordination.placement.DemandBook;
import org.basilrill.coordination.placement.Move;
import org.basilrill.coordination.placement.PlacementInput;
import org.basilrill.coordination.placement.PlacementMessage.DemandReport;
import org.basilrill.coordination.placement.PlacementMessage.ReportedDemand;
import org.basilrill.coordination.placement.PlacementPlan;
import org.basilrill.coordination.placement.PlacementPlanner;
import org.basilrill.coordination.placement.PlacementSettings;
import org.basilrill.scaffold.measure.PlacementWorld.Copy;
import org.basilrill.scaffold.measure.PlacementWorld.Demand;
import org.basilrill.scaffold.measure.PlacementWorld.Worker;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.LedgerRow.Holding;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/** The policies that the measurement compares. Not thread safe. */
final class PlacementPolicies {
    private PlacementPolicies() {}

    /** Moves copies once a second. */
    @FunctionalInterface
    interface Policy {
        /** Makes the moves of one second and returns the loads that wait for the store. */
        int step();
    }

    /** Keeps the placement by mean demand that every policy starts from. */
    static Policy unchanging() {
        return () -> 0;
    }

    /** Loads another copy where callers wait, in place of the copies of one worker that were used least recently. */
    static Policy leastRecentlyUsed(PlacementWorld world) {
        return () -> {
            int waiting = 0;
            List<Demand> behind = world.models().stream()
                    .filter(model -> model.backlog() > 0 && !isLoading(world, model))
                    .sorted(Comparator.comparingDouble(model -> -model.backlog()))
                    .toList();
            for (Demand model : behind) {
                if (world.storeTokens() < 1) {
                    waiting++;
                } else {
                    replaceLeastRecentlyUsed(world, model);
                }
            }
            return waiting;
        };
    }

    private static boolean isLoading(PlacementWorld world, Demand model) {
        return world.workers().stream()
                .map(worker -> worker.copies().get(model.id()))
                .anyMatch(copy -> copy != null && !copy.ready());
    }

    private static void replaceLeastRecentlyUsed(PlacementWorld world, Demand model) {
        Optional<Worker> worker = world.workers().stream()
                .filter(candidate -> !candidate.copies().containsKey(model.id()))
                .min(Comparator.comparingLong((Worker candidate) -> candidate.freeBytes() >= model.bytes()
                                ? -1
                                : candidate.copies().values().stream()
                                        .mapToLong(Copy::used)
                                        .min()
                                        .orElse(0))
                        .thenComparing(Worker::id));
        worker.ifPresent(found -> {
            List<Copy> oldest = found.copies().values().stream()
                    .filter(Copy::ready)
                    .sorted(Comparator.comparingLong(Copy::used))
                    .toList();
            for (Copy copy : oldest) {
                if (found.freeBytes() >= model.bytes()) {
                    break;
                }
                world.unload(found, copy.model().id());
            }
            world.load(found, model);
        });
    }

    /** The placement of the library, with the demand averaged by its own book. */
    static final class Planned implements Policy {
        private final PlacementWorld world;
        private final Rules rules;
        private final PlacementPlanner planner = new PlacementPlanner(PlacementSettings.defaults());
        private final DemandBook book;
        private final Map<ModelId, Double> totals = new HashMap<>();
        private final Map<ModelId, Demand> models = new HashMap<>();
        private final Map<TargetId, Worker> workers = new HashMap<>();
        private long sequence;
        private long decisionNanos;

        Planned(PlacementWorld world) {
            this.world = world;
            rules = world.rules();
            book = new DemandBook(world.time());
            world.models().forEach(model -> models.put(model.id(), model));
            world.workers().forEach(worker -> workers.put(worker.id(), worker));
        }

        @Override
        public int step() {
            List<ReportedDemand> reported = new ArrayList<>();
            for (Demand model : world.models()) {
                double total = totals.merge(model.id(), model.rate(), Double::sum);
                boolean none = world.workers().stream()
                        .noneMatch(worker -> worker.copies().containsKey(model.id()));
                reported.add(new ReportedDemand(model.id(), (long) total, none ? 1 : 0));
            }
            book.received(new InstanceId("entry"), new DemandReport(1, ++sequence, reported));
            PlacementInput input = input();
            long before = System.nanoTime();
            PlacementPlan plan = planner.plan(input);
            decisionNanos = System.nanoTime() - before;
            plan.moves().forEach(this::carryOut);
            return (int) plan.waiting().stream()
                    .filter(load -> load.obstacle() == PlacementPlan.Obstacle.STORE_LIMIT)
                    .count();
        }

        /** Returns the wall-clock time of the last decision, without the making of its input. */
        long decisionNanos() {
            return decisionNanos;
        }

        private void carryOut(Move move) {
            Worker worker = workers.get(move.target());
            if (move.kind() == OrderKind.UNLOAD_MODEL) {
                world.unload(worker, move.model());
            } else {
                world.load(worker, models.get(move.model()));
            }
        }

        private PlacementInput input() {
            List<LedgerRow> rows = new ArrayList<>();
            List<TargetAnnouncement> announcements = new ArrayList<>();
            Set<TargetId> settled = new HashSet<>();
            for (Worker worker : world.workers()) {
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
                rows.add(new LedgerRow(worker.id(), 1, PlacementWorld.WORKER_BYTES, true, holdings, open));
                announcements.add(announcement(worker, contents));
                if (open.isEmpty()) {
                    settled.add(worker.id());
                }
            }
            return new PlacementInput(
                    rules, rows, announcements, book.demand(), Set.of(), settled, Map.of(), world.storeTokens());
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
                    PlacementWorld.WORKER_BYTES,
                    contents,
                    Set.of(),
                    32,
                    new TargetAnnouncement.Load(0, 0),
                    true,
                    false);
        }
    }
}
