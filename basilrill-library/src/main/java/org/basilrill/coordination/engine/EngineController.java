package org.basilrill.coordination.engine;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.placement.DemandBook;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineOrder.Action;
import org.basilrill.state.target.EngineOrder.Answer;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Orders engines to load and unload, on the replica that leads the control log; does nothing on the others.
 *
 * <p>Every order names the number of orders that the engine must have accepted so far, so an order that is carried out
 * late, after others, has no effect, and what an engine holds needs no record in the control log. The term of the
 * leader is the fencing number. A new leader waits for the lease before its first order, so that two never take turns.
 *
 * <p>Thread safe: guarded by its own lock, which is not held while engines or listeners are called.
 */
public final class EngineController {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Interval of the decisions while nothing urges. */
    private static final Duration TICK = Duration.ofMillis(100);
    /** Pause after an answer that leaves the state of an engine open; reports lag by some hundred milliseconds. */
    private static final long PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** An adapter is on its way for at most about this long; until then requests for it would be refused. */
    private static final Duration ADAPTER_LOAD = Duration.ofMillis(15);
    /** After a pause of the process this long another leader may have given orders. */
    private static final long MAXIMUM_GAP_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Interval of the estimates; requests that begin to wait learn of them within this time. */
    private static final long FORECAST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * Pause after a decision, as a multiple of the time it took: the leader also serves callers and confirms the state
     * of all instances, which must not wait for the planning of a large pool.
     */
    private static final int PAUSE_PER_DECISION = 6;

    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(5);
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(200);

    private final Environment environment;
    private final DemandBook demand;
    private final Map<TargetId, EngineState> engines = new HashMap<>();
    private final Map<String, LoadAllowance> allowances = new HashMap<>();
    private final RecentUnloads recentUnloads = new RecentUnloads();
    private long termSeen = -1;
    private long leadsSinceNanos;
    private long lastStepNanos;
    private long notBeforeNanos;
    private long forecastNanos = Long.MIN_VALUE / 2;
    private boolean wakes;
    private boolean stopped;

    /** Creates a controller that does nothing before {@link #start}. */
    public EngineController(Environment environment, DemandBook demand) {
        this.environment = environment;
        this.demand = demand;
        this.notBeforeNanos = environment.clock().nanos();
    }

    /**
     * What the controller works with.
     *
     * @param term number of the leadership; greater than that of every leader before
     * @param lease time for which the orders of an earlier leader may still arrive
     * @param changes is told what was loaded and unloaded
     * @param readiness is told when the models that requests wait for will be ready
     */
    public record Environment(
            BooleanSupplier leads,
            LongSupplier term,
            Supplier<Rules> rules,
            TargetDirectory directory,
            EngineOrders orders,
            ContentListener changes,
            ReadinessListener readiness,
            Duration lease,
            MonotonicClock clock,
            Scheduler scheduler) {}

    /** Is told what an engine holds before the engine announces it. */
    @FunctionalInterface
    public interface ContentListener {
        /** Takes one change. */
        void changed(TargetAnnouncement engine, ModelId model, boolean present);
    }

    /** Is told how long the requests of an instance wait at least for models that are not ready. */
    @FunctionalInterface
    public interface ReadinessListener {
        /** Takes the present estimates for one instance. */
        void estimated(InstanceId instance, Map<ModelId, Duration> untilReady);
    }

    /** Begins to work whenever the replica leads. Called once. */
    public void start() {
        tick();
    }

    /** Ends the work. */
    public synchronized void stop() {
        stopped = true;
    }

    /** Decides soon, because requests began to wait. */
    public void urge() {
        wake();
    }

    private void tick() {
        wake();
        synchronized (this) {
            if (!stopped) {
                environment.scheduler().schedule(TICK, this::tick);
            }
        }
    }

    /** Decides once the pause after the last decision is over. */
    private void wake() {
        Duration delay;
        synchronized (this) {
            if (wakes || stopped) {
                return;
            }
            wakes = true;
            long left = notBeforeNanos - environment.clock().nanos();
            delay = Duration.ofNanos(Math.max(0, left));
        }
        environment.scheduler().schedule(delay, () -> {
            synchronized (this) {
                wakes = false;
            }
            step();
        });
    }

    private void step() {
        List<Runnable> effects = new ArrayList<>();
        synchronized (this) {
            if (!stopped && holdsLease()) {
                long began = environment.clock().nanos();
                observe();
                askForReports(effects);
                decide(effects);
                pauseAfter(began);
            }
        }
        effects.forEach(Runnable::run);
    }

    private void pauseAfter(long beganNanos) {
        long now = environment.clock().nanos();
        long pause = Math.max(SHORTEST_PAUSE.toNanos(), PAUSE_PER_DECISION * (now - beganNanos));
        notBeforeNanos = now + Math.min(LONGEST_PAUSE.toNanos(), pause);
    }

    /** Returns whether orders of this leader cannot meet those of the one before. */
    private boolean holdsLease() {
        long now = environment.clock().nanos();
        boolean paused = now - lastStepNanos > MAXIMUM_GAP_NANOS;
        lastStepNanos = now;
        if (!environment.leads().getAsBoolean()) {
            if (termSeen >= 0) {
                LOGGER.atInfo().log("%s: term %d", LogEvent.PLACEMENT_STOPPED, termSeen);
            }
            termSeen = -1;
            return false;
        }
        long term = environment.term().getAsLong();
        if (term != termSeen || paused) {
            LOGGER.atInfo().log("%s: term %d", LogEvent.PLACEMENT_STARTED, term);
            termSeen = term;
            leadsSinceNanos = now;
            engines.clear();
            allowances.clear();
        }
        return now - leadsSinceNanos >= environment.lease().toNanos();
    }

    /** Keeps one state for each present incarnation of each engine. */
    private void observe() {
        long now = environment.clock().nanos();
        Map<TargetId, EngineState> present = new HashMap<>();
        for (TargetAnnouncement target : environment.directory().targets()) {
            if (!target.isEngine()) {
                continue;
            }
            EngineState known = engines.get(target.id());
            boolean same = known != null && known.announcement().incarnation() == target.incarnation();
            EngineState state = same ? known : new EngineState(target, now);
            state.announced(target);
            present.put(target.id(), state);
        }
        engines.clear();
        engines.putAll(present);
    }

    private void askForReports(List<Runnable> effects) {
        long now = environment.clock().nanos();
        for (EngineState engine : engines.values()) {
            if (!engine.needsReport(now)) {
                continue;
            }
            engine.asked();
            effects.add(() ->
                    environment.orders().report(engine.announcement()).thenAccept(answer -> reported(engine, answer)));
        }
    }

    private void reported(EngineState engine, Optional<EngineReport> answer) {
        synchronized (this) {
            engine.reported(answer, environment.clock().nanos(), PAUSE_NANOS);
        }
        wake();
    }

    private void decide(List<Runnable> effects) {
        Rules rules = environment.rules().get();
        long now = environment.clock().nanos();
        boolean forecasts = now - forecastNanos >= FORECAST_INTERVAL_NANOS;
        if (forecasts) {
            forecastNanos = now;
        }
        for (EnginePool pool : rules.enginePools().values()) {
            List<EngineState> ofPool = engines.values().stream()
                    .filter(engine -> engine.announcement().service().equals(Optional.of(pool.service())))
                    .filter(engine -> !engine.announcement().leaving())
                    .toList();
            LoadAllowance allowance = allowances.computeIfAbsent(pool.service(), absent -> new LoadAllowance(now));
            int loads = allowance.available(pool.loadsPerSecond(), now);
            new EnginePlanner(rules, pool, ofPool, demand.demand(), loads, recentUnloads, now)
                    .plan()
                    .forEach(planned -> effects.add(send(planned, allowance)));
            if (forecasts) {
                forecast(pool, ofPool, now, effects);
            }
        }
    }

    /** Tells the instances where requests wait; the estimates expire there if they are not repeated. */
    private void forecast(EnginePool pool, List<EngineState> ofPool, long now, List<Runnable> effects) {
        demand.waiting().forEach((instance, models) -> {
            Map<ModelId, Duration> untilReady = EngineForecast.untilReady(pool, ofPool, models, now);
            if (!untilReady.isEmpty()) {
                effects.add(() -> environment.readiness().estimated(instance, untilReady));
            }
        });
    }

    /** Notes an order as sent and returns what sends it. */
    private Runnable send(PlannedOrder planned, LoadAllowance allowance) {
        EngineState engine = planned.engine();
        EngineOrder order = new EngineOrder(planned.action(), planned.model(), termSeen, engine.expectedOrders());
        boolean adapter = planned.model().adapter().isPresent();
        if (planned.action() == Action.LOAD && !adapter && !engine.hasAtHand(planned.model())) {
            allowance.take();
        }
        engine.asked();
        return () -> {
            if (order.action() == Action.UNLOAD) {
                environment.changes().changed(engine.announcement(), order.model(), false);
            }
            environment
                    .orders()
                    .order(engine.announcement(), order)
                    .thenAccept(answer -> answered(engine, order, answer));
        };
    }

    private void answered(EngineState engine, EngineOrder order, Answer answer) {
        boolean done;
        synchronized (this) {
            done = engine.answered(order, answer, environment.clock().nanos(), PAUSE_NANOS);
        }
        LOGGER.atInfo().log(
                "%s: %s %s at %s, term %d, expecting %d orders: %s",
                LogEvent.TARGET_ORDER_RESOLVED,
                order.action(),
                order.model(),
                engine.announcement().id(),
                order.fencingNumber(),
                order.expectedOrders(),
                answer);
        boolean adapterLoad =
                order.action() == Action.LOAD && order.model().adapter().isPresent();
        if (done && adapterLoad) {
            Duration delay = answer == Answer.HOLDS_ALREADY ? Duration.ZERO : ADAPTER_LOAD;
            environment
                    .scheduler()
                    .schedule(delay, () -> environment.changes().changed(engine.announcement(), order.model(), true));
        }
        if (!done && order.action() == Action.UNLOAD) {
            environment.changes().changed(engine.announcement(), order.model(), true);
        }
        wake();
    }
}
