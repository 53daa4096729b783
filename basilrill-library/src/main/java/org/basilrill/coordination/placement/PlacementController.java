package org.basilrill.coordination.placement;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.basilrill.api.LogEvent;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlCommand.IntendOrder;
import org.basilrill.state.control.ControlCommand.ObserveTarget;
import org.basilrill.state.control.ControlCommand.ResolveOrder;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlResult.OrderReserved;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Plans and executes the placement of models on the leader of the control log; inactive on the other replicas.
 *
 * <p>Invariants: an order is sent only once it is open in the ledger of this replica. It is resent under the same id
 * until its outcome is recorded. An unload is sent only while another copy is ready. The invariants also hold while
 * several controllers are active, such as after a pause of the old leader.
 *
 * <p>Thread safe: guarded by its own lock, which is not held while the log, a target or another instance is called.
 * Starts no thread.
 */
public final class PlacementController {
    private static final Duration COMMAND_DEADLINE = Duration.ofSeconds(2);

    /**
     * Minimum interval between planning runs that ended orders or waiting requests trigger; bounds the CPU time of
     * planning.
     */
    private static final long PLANNING_INTERVAL_NANOS = Duration.ofMillis(20).toNanos();

    /** Keeps planning below 1.8% of a core: with 1,500 models on 600 targets one run takes about 12 ms. */
    private static final long PLANNING_INTERVAL_NANOS_PER_TARGET = 1_200_000;

    /** After a pause of the process longer than this, the tracked state of orders is outdated and is rebuilt. */
    private static final long MAXIMUM_GAP_NANOS = Duration.ofSeconds(1).toNanos();

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PlacementEnvironment environment;
    private final PlacementSettings settings;
    private final PlacementPlanner planner;
    private final DemandAggregator demand;
    private final ReadinessPublisher readiness;
    private final List<Runnable> effects = new ArrayList<>();
    private Optional<LeadershipPeriod> leadership = Optional.empty();
    private long scheduledStepNanos = Long.MAX_VALUE;
    private boolean stopped;

    /** Creates a controller that does nothing before {@link #start}. */
    public PlacementController(
            PlacementEnvironment environment,
            PlacementSettings settings,
            DemandAggregator demand,
            PlacementMessenger messenger) {
        this.environment = environment;
        this.settings = settings;
        this.demand = demand;
        planner = new PlacementPlanner(settings);
        readiness = new ReadinessPublisher(demand, messenger);
        messenger.onDemand((sender, report) -> {
            if (demand.received(sender, report)) {
                run(() -> leadership.ifPresent(current -> {
                    readiness.requestPublication();
                    scheduleStep(Duration.ZERO);
                }));
            }
        });
    }

    /** Starts the controller, which is active whenever its replica leads. Called once. */
    public void start() {
        tick();
    }

    /** Stops the controller. Open orders stay in the ledger for the next controller. */
    public synchronized void stop() {
        stopped = true;
        leadership = Optional.empty();
    }

    /** Returns the current placement; on a follower, as far as that replica knows it. */
    public synchronized PlacementStatus status() {
        Observation observation = observe();
        return StatusReport.of(
                observation,
                rules(),
                demand.demand(),
                leadership.map(current -> current.pendingOrders).orElse(Map.of()),
                leadership.map(current -> current.reasons).orElse(Map.of()),
                leadership.map(current -> current.plan));
    }

    private void tick() {
        run(this::step);
        synchronized (this) {
            if (!stopped) {
                environment.scheduler().schedule(settings.planningInterval(), this::tick);
            }
        }
    }

    private void scheduleStep(Duration delay) {
        long due = environment.clock().nanos() + delay.toNanos();
        if (due >= scheduledStepNanos) {
            return;
        }
        scheduledStepNanos = due;
        environment
                .scheduler()
                .schedule(
                        delay,
                        () -> run(() -> {
                            scheduledStepNanos = Long.MAX_VALUE;
                            step();
                        }));
    }

    /** Runs a step under the lock, then its effects after the lock is released. */
    private void run(Runnable step) {
        List<Runnable> pending;
        synchronized (this) {
            if (stopped) {
                return;
            }
            try {
                step.run();
            } catch (RuntimeException exception) {
                LOGGER.atWarning().withCause(exception).log("%s", LogEvent.PLACEMENT_STEP_FAILED);
            }
            pending = List.copyOf(effects);
            effects.clear();
        }
        pending.forEach(Runnable::run);
    }

    private void step() {
        long now = environment.clock().nanos();
        if (!environment.leads().getAsBoolean()) {
            leadership.ifPresent(ended -> LOGGER.atInfo().log("%s", LogEvent.PLACEMENT_STOPPED));
            leadership = Optional.empty();
            return;
        }
        if (leadership.isEmpty() || now - leadership.get().lastStepNanos > MAXIMUM_GAP_NANOS) {
            leadership = Optional.of(new LeadershipPeriod(now));
            LOGGER.atInfo().log("%s", LogEvent.PLACEMENT_STARTED);
        }
        leadership.get().step(now);
    }

    private Observation observe() {
        return new Observation(
                environment.state().ledgerRows(), environment.directory().targets());
    }

    private Rules rules() {
        return environment.state().view().rules();
    }

    /**
     * State of one uninterrupted period in which this replica leads. Results that belong to an earlier period are
     * ignored.
     */
    private final class LeadershipPeriod {
        private final String orderIdPrefix =
                environment.self() + "-" + Long.toHexString(environment.random().nextLong()) + "-";
        private final OrderTracker tracker;
        private final LoadRateLimiter loadRateLimiter;
        private final LoadTimes loadTimes = new LoadTimes();
        private final Map<String, PendingOrder> pendingOrders = new HashMap<>();
        private final Map<String, PlacementReason> reasons = new HashMap<>();
        private final Map<TargetId, Map<ModelId, Long>> avoidedUntil = new HashMap<>();
        private final Set<TargetId> ledgerUpdatesInFlight = new HashSet<>();
        private PlacementPlan plan = new PlacementPlan(List.of(), List.of());
        private long lastStepNanos;
        private long lastPlanNanos = Long.MIN_VALUE / 2;
        private long orderCount;

        LeadershipPeriod(long now) {
            tracker = new OrderTracker(settings, now);
            loadRateLimiter = new LoadRateLimiter(now);
        }

        void step(long now) {
            lastStepNanos = now;
            long appliedIndex = environment.state().lastIndex();
            Observation observation = observe();
            pendingOrders.values().removeIf(pendingOrder -> pendingOrder.fencingNumber() <= appliedIndex);
            tracker.update(observation, now);
            reasons.keySet()
                    .removeIf(id -> !pendingOrders.containsKey(id)
                            && !tracker.orderIds().contains(id));
            updateLedger(observation, now);
            observation.rows().forEach(row -> row.openOrders().forEach(order -> processOrder(observation, order, now)));
            long planningInterval =
                    Math.max(PLANNING_INTERVAL_NANOS, observation.rows().size() * PLANNING_INTERVAL_NANOS_PER_TARGET);
            if (now - lastPlanNanos < planningInterval) {
                scheduleStep(Duration.ofNanos(planningInterval - (now - lastPlanNanos)));
                return;
            }
            lastPlanNanos = now;
            planAndSubmit(observation, now);
        }

        private void updateLedger(Observation observation, long now) {
            for (TargetAnnouncement announcement : observation.announcements()) {
                if (announcement.service().isPresent() || ledgerUpdatesInFlight.contains(announcement.id())) {
                    continue;
                }
                boolean fresh = tracker.isFresh(announcement, now);
                observation.ledgerUpdate(announcement, fresh).ifPresent(this::submitLedgerUpdate);
            }
        }

        private void submitLedgerUpdate(ObserveTarget command) {
            ledgerUpdatesInFlight.add(command.target());
            effects.add(() -> environment
                    .client()
                    .submit(command, COMMAND_DEADLINE)
                    .whenComplete((result, failure) -> run(() -> {
                        ledgerUpdatesInFlight.remove(command.target());
                        runIfCurrent(current -> scheduleStep(Duration.ZERO));
                    })));
        }

        /** Sends or resends an open order, requests its outcome from the target, or records the outcome. */
        private void processOrder(Observation observation, OpenOrder order, long now) {
            Optional<OrderOutcome> outcome = tracker.outcomeToRecord(observation, order);
            if (outcome.isPresent()) {
                record(order, outcome.get(), now);
                return;
            }
            Optional<TargetAnnouncement> recipient = tracker.recipient(observation, order, now);
            if (recipient.isEmpty()) {
                return;
            }
            boolean queryOutcome = tracker.isAccepted(order.orderId());
            if (!queryOutcome && !tracker.isSafe(observation, order, rules(), now)) {
                if (tracker.isFirstPostponement(order.orderId())) {
                    LOGGER.atInfo().log("%s: %s on %s", LogEvent.UNLOAD_HELD_BACK, order.model(), order.target());
                }
                return;
            }
            tracker.sent(order.orderId(), now);
            TargetAnnouncement target = recipient.get();
            TargetOrderClient orderClient = environment.orderClient();
            effects.add(() -> (queryOutcome
                            ? orderClient.outcome(target, order.orderId())
                            : orderClient.send(target, OrderTracker.toTargetOrder(order)))
                    .whenComplete((reportedOutcome, failure) -> run(() -> runIfCurrent(current -> {
                        if (failure == null) {
                            long receivedNanos = environment.clock().nanos();
                            scheduleStep(tracker.responseReceived(order.orderId(), reportedOutcome, receivedNanos));
                        }
                    }))));
        }

        private void record(OpenOrder order, OrderOutcome outcome, long now) {
            tracker.recording(order.orderId(), true);
            LOGGER.atInfo().log(
                    "%s: %s of %s on %s is %s",
                    LogEvent.TARGET_ORDER_RESOLVED, order.kind(), order.model(), order.target(), outcome);
            if (outcome == OrderOutcome.FAILED) {
                avoidedUntil
                        .computeIfAbsent(order.target(), absent -> new HashMap<>())
                        .put(order.model(), now + settings.avoidAfterFailure().toNanos());
            } else if (outcome == OrderOutcome.DONE) {
                loadTimes.add(order.kind(), tracker.age(order.orderId(), now));
            }
            submit(new ResolveOrder(order.orderId(), outcome), (result, failed) -> {
                tracker.recording(order.orderId(), false);
                scheduleStep(failed ? settings.planningInterval() : Duration.ZERO);
            });
        }

        private void planAndSubmit(Observation observation, long now) {
            Rules rules = rules();
            PlacementInput input = new PlacementInput(
                    rules,
                    observation.rowsWithPendingOrders(pendingOrders.values()),
                    observation.announcements(),
                    demand.demand(),
                    targetsWithForeignOrders(observation),
                    freshTargets(observation, now),
                    avoidedModels(now),
                    loadRateLimiter.available(rules.storeLimits(), now));
            plan = planner.plan(input);
            plan.orders().forEach(this::submitOrder);
            readiness.publish(
                    input,
                    plan,
                    order -> pendingOrders.containsKey(order.orderId())
                            ? Duration.ZERO
                            : tracker.age(order.orderId(), now),
                    loadTimes,
                    now,
                    effects);
        }

        private void submitOrder(PlacementOrder order) {
            if (order.loadsModel()) {
                loadRateLimiter.consume();
            }
            IntendOrder command = new IntendOrder(
                    order.target(),
                    order.targetIncarnation(),
                    orderIdPrefix + ++orderCount,
                    order.kind(),
                    order.model(),
                    order.version(),
                    order.bytes());
            pendingOrders.put(command.orderId(), new PendingOrder(command, Long.MAX_VALUE));
            reasons.put(command.orderId(), order.reason());
            LOGGER.atInfo().log(
                    "%s: %s of %s on %s, because %s",
                    LogEvent.TARGET_ORDER_INTENDED,
                    order.kind(),
                    order.model(),
                    order.target(),
                    order.reason().text());
            submit(command, (result, failed) -> {
                if (result instanceof OrderReserved reserved) {
                    pendingOrders.put(command.orderId(), new PendingOrder(command, reserved.fencingNumber()));
                    scheduleStep(Duration.ZERO);
                    return;
                }
                pendingOrders.remove(command.orderId());
                LOGGER.atInfo().log(
                        "%s: %s on %s, %s", LogEvent.TARGET_ORDER_REFUSED, command.model(), command.target(), result);
            });
        }

        private void submit(ControlCommand command, Completion completion) {
            effects.add(() -> environment
                    .client()
                    .submit(command, COMMAND_DEADLINE)
                    .whenComplete((result, failure) ->
                            run(() -> runIfCurrent(current -> completion.completed(result, failure != null)))));
        }

        private void runIfCurrent(Consumer<LeadershipPeriod> action) {
            leadership.filter(current -> current == this).ifPresent(action);
        }

        /** Returns the targets that have an open order of another controller. */
        private Set<TargetId> targetsWithForeignOrders(Observation observation) {
            Set<TargetId> blockedTargets = new HashSet<>();
            observation.rows().stream()
                    .filter(row -> row.openOrders().stream()
                            .anyMatch(order -> !order.orderId().startsWith(orderIdPrefix)))
                    .forEach(row -> blockedTargets.add(row.target()));
            return blockedTargets;
        }

        private Set<TargetId> freshTargets(Observation observation, long now) {
            Set<TargetId> fresh = new HashSet<>();
            observation.announcements().stream()
                    .filter(announcement -> tracker.isFresh(announcement, now))
                    .forEach(announcement -> fresh.add(announcement.id()));
            return fresh;
        }

        private Map<TargetId, Set<ModelId>> avoidedModels(long now) {
            Map<TargetId, Set<ModelId>> avoided = new HashMap<>();
            avoidedUntil.values().forEach(models -> models.values().removeIf(until -> until <= now));
            avoidedUntil.forEach((target, models) -> avoided.put(target, Set.copyOf(models.keySet())));
            return avoided;
        }
    }

    /** Handles the result of a command. */
    @FunctionalInterface
    private interface Completion {
        void completed(ControlResult result, boolean failed);
    }
}
