package org.basilrill.coordination.engine;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.api.VirtualTime;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineOrder.Action;
import org.basilrill.state.target.EngineOrder.Response;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Simulated engines on a virtual clock that check the orders they receive. Orders are delayed; some are executed
 * seconds later and their responses are lost; reports lag; engines restart without models. Models need one unit of
 * memory for each letter of their name. Not thread safe.
 */
final class VirtualEngines implements TargetDirectory {
    private static final Duration MAX_ORDER_DELAY = Duration.ofSeconds(5);
    private static final int MAX_DELAY_MILLIS = 30;

    private final VirtualTime time;
    private final Random random;
    private final EnginePool pool;
    private final Duration lease;
    private final Map<TargetId, Engine> engines = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private double lostResponseShare;
    private int accepted;

    VirtualEngines(VirtualTime time, Random random, EnginePool pool, Duration lease) {
        this.time = time;
        this.random = random;
        this.pool = pool;
        this.lease = lease;
    }

    /** Adds an engine with resident models. */
    void add(String id, ModelId... models) {
        engines.put(new TargetId(id), new Engine(new TargetId(id), Set.of(models)));
    }

    /** Sets the share of orders that arrive late and whose responses are lost. */
    void loseResponses(double share) {
        lostResponseShare = share;
    }

    /** Restarts an engine without resident models. */
    void restart(TargetId id) {
        Engine old = engines.get(id);
        engines.put(id, new Engine(id, Set.of()));
        engines.get(id).incarnation = old.incarnation + 1;
    }

    Set<TargetId> ids() {
        return Set.copyOf(engines.keySet());
    }

    /** Returns the violations of the lease, the fencing or the capacity. */
    List<String> violations() {
        return violations;
    }

    /** Returns the number of executed orders. */
    int accepted() {
        return accepted;
    }

    /** Returns the connection of one leader to the engines. */
    EngineClient clientOf(String leader) {
        return new EngineClient() {
            @Override
            public CompletableFuture<Optional<EngineReport>> report(TargetAnnouncement engine) {
                CompletableFuture<Optional<EngineReport>> response = new CompletableFuture<>();
                EngineReport laggingReport = engines.get(engine.id()).report();
                time.schedule(delay(), () -> response.complete(Optional.of(laggingReport)));
                return response;
            }

            @Override
            public CompletableFuture<Response> order(TargetAnnouncement engine, EngineOrder order) {
                CompletableFuture<Response> response = new CompletableFuture<>();
                boolean responseLost = random.nextDouble() < lostResponseShare;
                Duration arrival = responseLost ? MAX_ORDER_DELAY.dividedBy(1 + random.nextInt(8)) : delay();
                checkLease(engine.id(), leader, order);
                time.schedule(arrival, () -> {
                    Engine present = engines.get(engine.id());
                    boolean same = present.incarnation == engine.incarnation();
                    Response result = same ? present.execute(order) : Response.REFUSED;
                    if (!responseLost) {
                        response.complete(result);
                    }
                });
                if (responseLost) {
                    time.schedule(Duration.ofSeconds(2), () -> response.complete(Response.UNKNOWN));
                }
                return response;
            }
        };
    }

    @Override
    public Collection<TargetAnnouncement> targets() {
        return engines.values().stream().map(Engine::announcement).toList();
    }

    @Override
    public Optional<TargetAnnouncement> target(TargetId id) {
        return Optional.ofNullable(engines.get(id)).map(Engine::announcement);
    }

    @Override
    public Collection<TargetAnnouncement> readyFor(ModelId model) {
        return targets().stream().filter(target -> target.isReadyFor(model)).toList();
    }

    @Override
    public Collection<TargetAnnouncement> ofService(String service) {
        return targets();
    }

    private Duration delay() {
        return Duration.ofMillis(1 + random.nextInt(MAX_DELAY_MILLIS));
    }

    private void checkLease(TargetId id, String leader, EngineOrder order) {
        Engine engine = engines.get(id);
        boolean otherLeader =
                engine.lastLeader.filter(last -> !last.equals(leader)).isPresent();
        if (otherLeader && time.nanos() - engine.lastOrderNanos < lease.toNanos()) {
            violations.add(leader + " sent an order within the lease of " + engine.lastLeader.get() + " at " + id);
        }
        if (order.fencingNumber() < engine.highestFencingNumber) {
            violations.add(leader + " used an old fencing number at " + id);
        }
        engine.highestFencingNumber = Math.max(engine.highestFencingNumber, order.fencingNumber());
        engine.lastLeader = Optional.of(leader);
        engine.lastOrderNanos = time.nanos();
    }

    /** One engine. A violation recorded here would crash a real engine. */
    private final class Engine {
        private final TargetId id;
        private final Set<ModelId> resident;
        private final Set<ModelId> ready;
        private long incarnation = 1;
        private long orders;
        private boolean busy;
        private Optional<String> lastLeader = Optional.empty();
        private long lastOrderNanos;
        private long highestFencingNumber;

        private Engine(TargetId id, Set<ModelId> models) {
            this.id = id;
            resident = new HashSet<>(models);
            ready = new HashSet<>(models);
        }

        private Response execute(EngineOrder order) {
            if (busy || order.expectedOrders() != orders) {
                return Response.CONFLICT;
            }
            boolean load = order.action() == Action.LOAD;
            if (load == resident.contains(order.model())) {
                return Response.HOLDS_ALREADY;
            }
            accepted++;
            orders++;
            if (order.model().adapter().isPresent()) {
                executeAdapterOrder(order.model(), load);
                return Response.ACCEPTED;
            }
            busy = true;
            if (load) {
                resident.add(order.model());
                checkCapacity();
                time.schedule(pool.models().get(order.model()), () -> {
                    ready.add(order.model());
                    busy = false;
                });
                return Response.ACCEPTED;
            }
            ready.remove(order.model());
            // Memory is freed only after the running requests have ended.
            time.schedule(Duration.ofMillis(500), () -> {
                resident.removeIf(model -> model.base().equals(order.model()));
                ready.removeIf(model -> model.base().equals(order.model()));
                busy = false;
            });
            return Response.ACCEPTED;
        }

        private void executeAdapterOrder(ModelId adapter, boolean load) {
            if (!load) {
                resident.remove(adapter);
                ready.remove(adapter);
                return;
            }
            resident.add(adapter);
            ready.add(adapter);
            checkCapacity();
        }

        private void checkCapacity() {
            int memory = resident.stream()
                    .filter(model -> model.adapter().isEmpty())
                    .mapToInt(model -> model.value().length())
                    .sum();
            long adapters = resident.stream()
                    .filter(model -> model.adapter().isPresent())
                    .count();
            if (memory > pool.memoryBytes()) {
                violations.add(id + " holds " + resident + " in " + pool.memoryBytes() + " units of memory");
            }
            if (adapters > pool.adapterSlots()) {
                violations.add(id + " holds " + resident + " in " + pool.adapterSlots() + " slots for adapters");
            }
        }

        private EngineReport report() {
            return new EngineReport(resident, Set.of(), Set.of(), busy, orders);
        }

        private TargetAnnouncement announcement() {
            return EnginePlannerFixture.announcement(id, incarnation, ready);
        }
    }
}
