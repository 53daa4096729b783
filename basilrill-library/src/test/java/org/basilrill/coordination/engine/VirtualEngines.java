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
import org.basilrill.state.target.EngineOrder.Answer;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Engines on a virtual clock that check what they are ordered. Orders take time on their way; some are carried out
 * seconds later without an answer; reports lag; engines restart empty. Models take one unit of memory for each letter
 * of their name. Not thread safe.
 */
final class VirtualEngines implements TargetDirectory {
    private static final Duration LATEST_ORDER = Duration.ofSeconds(5);
    private static final int MAXIMUM_DELAY_MILLIS = 30;

    private final VirtualTime time;
    private final Random random;
    private final EnginePool pool;
    private final Duration lease;
    private final Map<TargetId, Engine> engines = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private double lateShare;
    private int accepted;

    VirtualEngines(VirtualTime time, Random random, EnginePool pool, Duration lease) {
        this.time = time;
        this.random = random;
        this.pool = pool;
        this.lease = lease;
    }

    /** Adds an engine that holds models. */
    void add(String id, ModelId... models) {
        engines.put(new TargetId(id), new Engine(new TargetId(id), Set.of(models)));
    }

    /** Makes a part of the orders arrive late, without an answer. */
    void loseAnswers(double share) {
        lateShare = share;
    }

    /** Starts an engine again, empty. */
    void restart(TargetId id) {
        Engine old = engines.get(id);
        engines.put(id, new Engine(id, Set.of()));
        engines.get(id).incarnation = old.incarnation + 1;
    }

    Set<TargetId> ids() {
        return Set.copyOf(engines.keySet());
    }

    /** Returns what no engine may be ordered and was. */
    List<String> violations() {
        return violations;
    }

    /** Returns the number of orders that were carried out. */
    int accepted() {
        return accepted;
    }

    /** Returns the way of one holder to the engines. */
    EngineOrders ordersOf(String holder) {
        return new EngineOrders() {
            @Override
            public CompletableFuture<Optional<EngineReport>> report(TargetAnnouncement engine) {
                CompletableFuture<Optional<EngineReport>> answer = new CompletableFuture<>();
                EngineReport lagging = engines.get(engine.id()).report();
                time.schedule(delay(), () -> answer.complete(Optional.of(lagging)));
                return answer;
            }

            @Override
            public CompletableFuture<Answer> order(TargetAnnouncement engine, EngineOrder order) {
                CompletableFuture<Answer> answer = new CompletableFuture<>();
                boolean late = random.nextDouble() < lateShare;
                Duration arrival = late ? LATEST_ORDER.dividedBy(1 + random.nextInt(8)) : delay();
                noteTurn(engine.id(), holder, order);
                time.schedule(arrival, () -> {
                    Engine present = engines.get(engine.id());
                    boolean same = present.incarnation == engine.incarnation();
                    Answer given = same ? present.carryOut(order) : Answer.REFUSED;
                    if (!late) {
                        answer.complete(given);
                    }
                });
                if (late) {
                    time.schedule(Duration.ofSeconds(2), () -> answer.complete(Answer.UNKNOWN));
                }
                return answer;
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
        return Duration.ofMillis(1 + random.nextInt(MAXIMUM_DELAY_MILLIS));
    }

    private void noteTurn(TargetId id, String holder, EngineOrder order) {
        Engine engine = engines.get(id);
        boolean otherHolder =
                engine.lastHolder.filter(last -> !last.equals(holder)).isPresent();
        if (otherHolder && time.nanos() - engine.lastOrderNanos < lease.toNanos()) {
            violations.add(holder + " took turns with " + engine.lastHolder.get() + " at " + id);
        }
        if (order.fencingNumber() < engine.highestFence) {
            violations.add(holder + " used an old fencing number at " + id);
        }
        engine.highestFence = Math.max(engine.highestFence, order.fencingNumber());
        engine.lastHolder = Optional.of(holder);
        engine.lastOrderNanos = time.nanos();
    }

    /** One engine, which crashes in reality where a violation is noted here. */
    private final class Engine {
        private final TargetId id;
        private final Set<ModelId> held;
        private final Set<ModelId> ready;
        private long incarnation = 1;
        private long orders;
        private boolean busy;
        private Optional<String> lastHolder = Optional.empty();
        private long lastOrderNanos;
        private long highestFence;

        private Engine(TargetId id, Set<ModelId> models) {
            this.id = id;
            held = new HashSet<>(models);
            ready = new HashSet<>(models);
        }

        private Answer carryOut(EngineOrder order) {
            if (busy || order.expectedOrders() != orders) {
                return Answer.CONFLICT;
            }
            boolean load = order.action() == Action.LOAD;
            if (load == held.contains(order.model())) {
                return Answer.HOLDS_ALREADY;
            }
            accepted++;
            orders++;
            if (order.model().adapter().isPresent()) {
                carryOutAdapter(order.model(), load);
                return Answer.ACCEPTED;
            }
            busy = true;
            if (load) {
                held.add(order.model());
                checkRoom();
                time.schedule(pool.models().get(order.model()), () -> {
                    ready.add(order.model());
                    busy = false;
                });
                return Answer.ACCEPTED;
            }
            ready.remove(order.model());
            // Memory is free only once the runs have ended.
            time.schedule(Duration.ofMillis(500), () -> {
                held.removeIf(model -> model.base().equals(order.model()));
                ready.removeIf(model -> model.base().equals(order.model()));
                busy = false;
            });
            return Answer.ACCEPTED;
        }

        private void carryOutAdapter(ModelId adapter, boolean load) {
            if (!load) {
                held.remove(adapter);
                ready.remove(adapter);
                return;
            }
            held.add(adapter);
            ready.add(adapter);
            checkRoom();
        }

        private void checkRoom() {
            int memory = held.stream()
                    .filter(model -> model.adapter().isEmpty())
                    .mapToInt(model -> model.value().length())
                    .sum();
            long adapters =
                    held.stream().filter(model -> model.adapter().isPresent()).count();
            if (memory > pool.memoryBytes()) {
                violations.add(id + " holds " + held + " in " + pool.memoryBytes() + " units of memory");
            }
            if (adapters > pool.adapterSlots()) {
                violations.add(id + " holds " + held + " in " + pool.adapterSlots() + " slots for adapters");
            }
        }

        private EngineReport report() {
            return new EngineReport(held, Set.of(), Set.of(), busy, orders);
        }

        private TargetAnnouncement announcement() {
            return EnginePlanning.announcement(id, incarnation, ready);
        }
    }
}
