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
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.placement.DemandAggregator;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineOrder.Action;
import org.basilrill.state.target.EngineOrder.Response;
import org.basilrill.state.target.EngineReport;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Sends load and unload orders to engines while this replica leads the control log; does nothing otherwise.
 *
 * <p>Every order names the number of orders that the engine must have accepted so far, so that an order that arrives
 * late, after others, has no effect. The content of an engine therefore needs no record in the control log. The term of
 * the leader is the fencing number. A new leader waits for the lease before its first order, so that orders of two
 * leaders never alternate.
 *
 * <p>Thread safe: guarded by its own lock, which is not held while engines or listeners are called.
 */
public final class EngineController {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Interval of the decisions unless an earlier decision is requested. */
    private static final Duration DECISION_INTERVAL = Duration.ofMillis(100);
    /**
     * Delay of the next report request or order after a response that leaves the state of an engine unknown; reports
     * lag by several hundred milliseconds.
     */
    private static final long REPORT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(300);
    /** Upper estimate of the load time of an adapter; until its end, requests for the adapter would be refused. */
    private static final Duration ADAPTER_LOAD_TIME = Duration.ofMillis(15);
    /** After a pause of the process of this length, another leader may have sent orders. */
    private static final long MAX_STEP_GAP_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Interval of the readiness estimates; newly queued requests receive an estimate within this time. */
    private static final long FORECAST_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /**
     * Pause after a decision, as a multiple of the duration of the decision. The leader also serves callers and
     * confirms the state of all instances; the planning of a large pool must not delay that.
     */
    private static final int PAUSE_PER_DECISION = 6;

    private static final Duration SHORTEST_PAUSE = Duration.ofMillis(5);
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(200);

    private final Environment environment;
    private final DemandAggregator demand;
    private final Map<TargetId, EngineState> engines = new HashMap<>();
    private final Map<String, LoadRateLimiter> loadRateLimiters = new HashMap<>();
    private final RecentUnloads recentUnloads = new RecentUnloads();
    private final UnservedModelLog unservedModels = new UnservedModelLog();
    private long observedTerm = -1;
    private long leaderSinceNanos;
    private long lastStepNanos;
    private long notBeforeNanos;
    private long forecastNanos = Long.MIN_VALUE / 2;
    private boolean stepScheduled;
    private boolean stopped;

    /** Creates a controller that does nothing before {@link #start}. */
    public EngineController(Environment environment, DemandAggregator demand) {
        this.environment = environment;
        this.demand = demand;
        this.notBeforeNanos = environment.clock().nanos();
    }

    /**
     * The dependencies of the controller.
     *
     * @param term term of the leadership; greater than the term of every previous leader
     * @param overLimit returns whether more requests are queued for an engine than its request rate serves soon
     * @param lease time during which orders of a previous leader may still arrive
     * @param contentListener is notified of what was loaded and unloaded
     * @param readinessListener is notified when the models that requests are queued for will be ready
     */
    public record Environment(
            BooleanSupplier isLeader,
            LongSupplier term,
            Supplier<Rules> rules,
            TargetDirectory directory,
            EngineClient engineClient,
            ContentListener contentListener,
            ReadinessListener readinessListener,
            Predicate<TargetAnnouncement> overLimit,
            Duration lease,
            MonotonicClock clock,
            Scheduler scheduler) {}

    /** Receives changes of the content of an engine before the engine announces them. */
    @FunctionalInterface
    public interface ContentListener {
        /** Called for each change. */
        void changed(TargetAnnouncement engine, ModelId model, boolean present);
    }

    /** Receives the minimum waiting times of queued requests for models that are not ready. */
    @FunctionalInterface
    public interface ReadinessListener {
        /** Called with the current estimates for one instance. */
        void estimated(InstanceId instance, Map<ModelId, Duration> untilReady);
    }

    /** Starts the periodic decisions, which have an effect while the replica leads. Called once. */
    public void start() {
        tick();
    }

    /** Stops the periodic decisions. */
    public synchronized void stop() {
        stopped = true;
    }

    /** Requests an early decision, because requests have been queued. */
    public void requestDecision() {
        scheduleStep();
    }

    private void tick() {
        scheduleStep();
        synchronized (this) {
            if (!stopped) {
                environment.scheduler().schedule(DECISION_INTERVAL, this::tick);
            }
        }
    }

    /** Schedules a decision at the end of the pause after the last one. */
    private void scheduleStep() {
        Duration delay;
        synchronized (this) {
            if (stepScheduled || stopped) {
                return;
            }
            stepScheduled = true;
            long remainingNanos = notBeforeNanos - environment.clock().nanos();
            delay = Duration.ofNanos(Math.max(0, remainingNanos));
        }
        environment.scheduler().schedule(delay, () -> {
            synchronized (this) {
                stepScheduled = false;
            }
            step();
        });
    }

    private void step() {
        List<Runnable> callbacks = new ArrayList<>();
        synchronized (this) {
            if (!stopped && mayIssueOrders()) {
                long startNanos = environment.clock().nanos();
                observe();
                requestReports(callbacks);
                decide(callbacks);
                pauseAfter(startNanos);
            }
        }
        callbacks.forEach(Runnable::run);
    }

    private void pauseAfter(long startNanos) {
        long now = environment.clock().nanos();
        long pause = Math.max(SHORTEST_PAUSE.toNanos(), PAUSE_PER_DECISION * (now - startNanos));
        notBeforeNanos = now + Math.min(LONGEST_PAUSE.toNanos(), pause);
    }

    /** Returns whether orders of this leader can no longer interleave with those of the previous one. */
    private boolean mayIssueOrders() {
        long now = environment.clock().nanos();
        boolean paused = now - lastStepNanos > MAX_STEP_GAP_NANOS;
        lastStepNanos = now;
        if (!environment.isLeader().getAsBoolean()) {
            if (observedTerm >= 0) {
                LOGGER.atInfo().log("%s: term %d", LogEvent.PLACEMENT_STOPPED, observedTerm);
            }
            observedTerm = -1;
            return false;
        }
        long term = environment.term().getAsLong();
        if (term != observedTerm || paused) {
            LOGGER.atInfo().log("%s: term %d", LogEvent.PLACEMENT_STARTED, term);
            observedTerm = term;
            leaderSinceNanos = now;
            engines.clear();
            loadRateLimiters.clear();
        }
        return now - leaderSinceNanos >= environment.lease().toNanos();
    }

    /** Keeps one state for the current incarnation of each engine. */
    private void observe() {
        long now = environment.clock().nanos();
        Map<TargetId, EngineState> currentStates = new HashMap<>();
        for (TargetAnnouncement target : environment.directory().targets()) {
            if (!target.isEngine()) {
                continue;
            }
            EngineState existing = engines.get(target.id());
            boolean sameIncarnation =
                    existing != null && existing.announcement().incarnation() == target.incarnation();
            EngineState state = sameIncarnation ? existing : new EngineState(target, now);
            state.updateAnnouncement(target);
            state.setOverLimit(environment.overLimit().test(target));
            currentStates.put(target.id(), state);
        }
        engines.clear();
        engines.putAll(currentStates);
    }

    private void requestReports(List<Runnable> callbacks) {
        long now = environment.clock().nanos();
        for (EngineState engine : engines.values()) {
            if (!engine.needsReport(now)) {
                continue;
            }
            engine.requestSent();
            callbacks.add(() -> environment
                    .engineClient()
                    .report(engine.announcement())
                    .thenAccept(response -> reportReceived(engine, response)));
        }
    }

    private void reportReceived(EngineState engine, Optional<EngineReport> response) {
        synchronized (this) {
            engine.reportReceived(response, environment.clock().nanos(), REPORT_DELAY_NANOS);
        }
        scheduleStep();
    }

    private void decide(List<Runnable> callbacks) {
        Rules rules = environment.rules().get();
        long now = environment.clock().nanos();
        boolean forecastDue = now - forecastNanos >= FORECAST_INTERVAL_NANOS;
        if (forecastDue) {
            forecastNanos = now;
        }
        for (EnginePool pool : rules.enginePools().values()) {
            List<EngineState> poolEngines = engines.values().stream()
                    .filter(engine -> engine.announcement().service().equals(Optional.of(pool.service())))
                    .filter(engine -> !engine.announcement().leaving())
                    .toList();
            LoadRateLimiter rateLimiter =
                    loadRateLimiters.computeIfAbsent(pool.service(), absent -> new LoadRateLimiter(now));
            int loads = rateLimiter.availableLoads(pool.loadsPerSecond(), now);
            EnginePlanner planner =
                    new EnginePlanner(rules, pool, poolEngines, demand.demand(), loads, recentUnloads, now);
            unservedModels.observe(pool, poolEngines, planner.unservedModels());
            planner.plan().forEach(planned -> callbacks.add(send(planned, rateLimiter)));
            if (forecastDue) {
                forecast(pool, poolEngines, now, callbacks);
            }
        }
    }

    /** Sends estimates to the instances with queued requests. The estimates expire there unless they are repeated. */
    private void forecast(EnginePool pool, List<EngineState> poolEngines, long now, List<Runnable> callbacks) {
        demand.waitingModels().forEach((instance, models) -> {
            Map<ModelId, Duration> untilReady = EngineForecast.untilReady(pool, poolEngines, models, now);
            if (!untilReady.isEmpty()) {
                callbacks.add(() -> environment.readinessListener().estimated(instance, untilReady));
            }
        });
    }

    /** Records an order as sent and returns the callback that sends it. */
    private Runnable send(PlannedOrder planned, LoadRateLimiter rateLimiter) {
        EngineState engine = planned.engine();
        EngineOrder order = new EngineOrder(planned.action(), planned.model(), observedTerm, engine.expectedOrders());
        boolean adapter = planned.model().adapter().isPresent();
        if (planned.action() == Action.LOAD && !adapter && !engine.hasLocalWeights(planned.model())) {
            rateLimiter.acquire();
        }
        engine.requestSent();
        return () -> {
            if (order.action() == Action.UNLOAD) {
                environment.contentListener().changed(engine.announcement(), order.model(), false);
            }
            environment
                    .engineClient()
                    .order(engine.announcement(), order)
                    .thenAccept(response -> orderResponseReceived(engine, order, response));
        };
    }

    private void orderResponseReceived(EngineState engine, EngineOrder order, Response response) {
        boolean successful;
        synchronized (this) {
            successful = engine.orderResponseReceived(
                    order, response, environment.clock().nanos(), REPORT_DELAY_NANOS);
        }
        LOGGER.atInfo().log(
                "%s: %s %s at %s, term %d, expecting %d orders: %s",
                LogEvent.TARGET_ORDER_RESOLVED,
                order.action(),
                order.model(),
                engine.announcement().id(),
                order.fencingNumber(),
                order.expectedOrders(),
                response);
        boolean adapterLoad =
                order.action() == Action.LOAD && order.model().adapter().isPresent();
        if (successful && adapterLoad) {
            Duration delay = response == Response.HOLDS_ALREADY ? Duration.ZERO : ADAPTER_LOAD_TIME;
            environment
                    .scheduler()
                    .schedule(
                            delay,
                            () -> environment.contentListener().changed(engine.announcement(), order.model(), true));
        }
        if (!successful && order.action() == Action.UNLOAD) {
            environment.contentListener().changed(engine.announcement(), order.model(), true);
        }
        scheduleStep();
    }
}
