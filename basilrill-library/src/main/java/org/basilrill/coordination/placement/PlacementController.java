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
 * Carries out the placement on the replica that leads the control log, and does nothing on the others.
 *
 * <p>Invariants: an order is sent only once it is open in the ledger of this replica. It is repeated under its id
 * until its outcome is recorded. An unload is sent only while another copy is ready. The invariants hold with several
 * controllers at work, as after a pause of the old leader.
 *
 * <p>Thread safe: guarded by its own lock, which is not held while the log, a target or another instance is called.
 * Starts no thread.
 */
public final class PlacementController {
    private static final Duration COMMAND_DEADLINE = Duration.ofSeconds(2);

    /** Pause between decisions when orders end or callers begin to wait; bounds the time that decisions take. */
    private static final long DECISION_PAUSE_NANOS = Duration.ofMillis(20).toNanos();

    /** Keeps decisions under 1.8% of a core: with 1,500 models on 600 targets one takes about 12 ms. */
    private static final long DECISION_PAUSE_NANOS_PER_TARGET = 1_200_000;

    /** After a pause of the process this long, what was noted of orders is outdated and the controller begins anew. */
    private static final long MAXIMUM_GAP_NANOS = Duration.ofSeconds(1).toNanos();

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final PlacementEnvironment environment;
    private final PlacementSettings settings;
    private final PlacementPlanner planner;
    private final DemandBook demand;
    private final ReadinessPublisher readiness;
    private final List<Runnable> effects = new ArrayList<>();
    private Optional<Term> term = Optional.empty();
    private long wakeNanos = Long.MAX_VALUE;
    private boolean stopped;

    /** Creates a controller that does nothing before {@link #start}. */
    public PlacementController(
            PlacementEnvironment environment,
            PlacementSettings settings,
            DemandBook demand,
            PlacementMessenger messenger) {
        this.environment = environment;
        this.settings = settings;
        this.demand = demand;
        planner = new PlacementPlanner(settings);
        readiness = new ReadinessPublisher(demand, messenger);
        messenger.onDemand((sender, report) -> {
            if (demand.received(sender, report)) {
                run(() -> term.ifPresent(current -> {
                    readiness.urge();
                    wake(Duration.ZERO);
                }));
            }
        });
    }

    /** Begins to work whenever the replica leads. Called once. */
    public void start() {
        tick();
    }

    /** Ends the work. Open orders stay in the ledger for the next controller. */
    public synchronized void stop() {
        stopped = true;
        term = Optional.empty();
    }

    /** Returns the present placement, on a replica that does not lead as far as that replica knows it. */
    public synchronized PlacementStatus status() {
        Observation observation = look();
        return StatusReport.of(
                observation,
                rules(),
                demand.demand(),
                term.map(current -> current.intents).orElse(Map.of()),
                term.map(current -> current.reasons).orElse(Map.of()),
                term.map(current -> current.plan));
    }

    private void tick() {
        run(this::step);
        synchronized (this) {
            if (!stopped) {
                environment.scheduler().schedule(settings.tick(), this::tick);
            }
        }
    }

    private void wake(Duration delay) {
        long due = environment.clock().nanos() + delay.toNanos();
        if (due >= wakeNanos) {
            return;
        }
        wakeNanos = due;
        environment
                .scheduler()
                .schedule(
                        delay,
                        () -> run(() -> {
                            wakeNanos = Long.MAX_VALUE;
                            step();
                        }));
    }

    /** Runs a step under the lock and its effects without it. */
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
            term.ifPresent(ended -> LOGGER.atInfo().log("%s", LogEvent.PLACEMENT_STOPPED));
            term = Optional.empty();
            return;
        }
        if (term.isEmpty() || now - term.get().lastStepNanos > MAXIMUM_GAP_NANOS) {
            term = Optional.of(new Term(now));
            LOGGER.atInfo().log("%s", LogEvent.PLACEMENT_STARTED);
        }
        term.get().step(now);
    }

    private Observation look() {
        return new Observation(
                environment.state().ledgerRows(), environment.directory().targets());
    }

    private Rules rules() {
        return environment.state().view().rules();
    }

    /** The time during which this replica leads without a pause. Answers to an earlier one are ignored. */
    private final class Term {
        private final String prefix =
                environment.self() + "-" + Long.toHexString(environment.random().nextLong()) + "-";
        private final OrderTracker tracker;
        private final LoadBudget budget;
        private final LoadTimes loadTimes = new LoadTimes();
        private final Map<String, Intent> intents = new HashMap<>();
        private final Map<String, MoveReason> reasons = new HashMap<>();
        private final Map<TargetId, Map<ModelId, Long>> avoidedUntil = new HashMap<>();
        private final Set<TargetId> observing = new HashSet<>();
        private PlacementPlan plan = new PlacementPlan(List.of(), List.of());
        private long lastStepNanos;
        private long lastDecisionNanos = Long.MIN_VALUE / 2;
        private long orders;

        Term(long now) {
            tracker = new OrderTracker(settings, now);
            budget = new LoadBudget(now);
        }

        void step(long now) {
            lastStepNanos = now;
            long appliedIndex = environment.state().lastIndex();
            Observation observation = look();
            intents.values().removeIf(intent -> intent.fencingNumber() <= appliedIndex);
            tracker.look(observation, now);
            reasons.keySet()
                    .removeIf(id ->
                            !intents.containsKey(id) && !tracker.orderIds().contains(id));
            correct(observation, now);
            observation.rows().forEach(row -> row.openOrders().forEach(order -> follow(observation, order, now)));
            long pause = Math.max(DECISION_PAUSE_NANOS, observation.rows().size() * DECISION_PAUSE_NANOS_PER_TARGET);
            if (now - lastDecisionNanos < pause) {
                wake(Duration.ofNanos(pause - (now - lastDecisionNanos)));
                return;
            }
            lastDecisionNanos = now;
            decide(observation, now);
        }

        private void correct(Observation observation, long now) {
            for (TargetAnnouncement announcement : observation.announcements()) {
                if (announcement.service().isPresent() || observing.contains(announcement.id())) {
                    continue;
                }
                boolean settled = tracker.isSettled(announcement, now);
                observation.correction(announcement, settled).ifPresent(this::observe);
            }
        }

        private void observe(ObserveTarget command) {
            observing.add(command.target());
            effects.add(() -> environment
                    .client()
                    .submit(command, COMMAND_DEADLINE)
                    .whenComplete((result, failure) -> run(() -> {
                        observing.remove(command.target());
                        continueWith(current -> wake(Duration.ZERO));
                    })));
        }

        /** Sends or repeats an open order, asks for its outcome, or records it. */
        private void follow(Observation observation, OpenOrder order, long now) {
            Optional<OrderOutcome> outcome = tracker.outcomeToRecord(observation, order);
            if (outcome.isPresent()) {
                record(order, outcome.get(), now);
                return;
            }
            Optional<TargetAnnouncement> recipient = tracker.recipient(observation, order, now);
            if (recipient.isEmpty()) {
                return;
            }
            boolean ask = tracker.isAccepted(order.orderId());
            if (!ask && !tracker.isSafe(observation, order, rules(), now)) {
                if (tracker.holdNoted(order.orderId())) {
                    LOGGER.atInfo().log("%s: %s on %s", LogEvent.UNLOAD_HELD_BACK, order.model(), order.target());
                }
                return;
            }
            tracker.sent(order.orderId(), now);
            TargetAnnouncement target = recipient.get();
            TargetOrders sender = environment.orders();
            effects.add(() -> (ask
                            ? sender.outcome(target, order.orderId())
                            : sender.send(target, OrderTracker.message(order)))
                    .whenComplete((answer, failure) -> run(() -> continueWith(current -> {
                        if (failure == null) {
                            long answeredAt = environment.clock().nanos();
                            wake(tracker.answered(order.orderId(), answer, answeredAt));
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
                wake(failed ? settings.tick() : Duration.ZERO);
            });
        }

        private void decide(Observation observation, long now) {
            Rules rules = rules();
            PlacementInput input = new PlacementInput(
                    rules,
                    observation.rowsWith(intents.values()),
                    observation.announcements(),
                    demand.demand(),
                    closed(observation),
                    settled(observation, now),
                    avoided(now),
                    budget.available(rules.storeLimits(), now));
            plan = planner.plan(input);
            plan.moves().forEach(this::intend);
            readiness.publish(
                    input,
                    plan,
                    order -> intents.containsKey(order.orderId()) ? Duration.ZERO : tracker.age(order.orderId(), now),
                    loadTimes,
                    now,
                    effects);
        }

        private void intend(Move move) {
            if (move.loadsModel()) {
                budget.take();
            }
            IntendOrder command = new IntendOrder(
                    move.target(),
                    move.targetIncarnation(),
                    prefix + ++orders,
                    move.kind(),
                    move.model(),
                    move.version(),
                    move.bytes());
            intents.put(command.orderId(), new Intent(command, Long.MAX_VALUE));
            reasons.put(command.orderId(), move.reason());
            LOGGER.atInfo().log(
                    "%s: %s of %s on %s, because %s",
                    LogEvent.TARGET_ORDER_INTENDED,
                    move.kind(),
                    move.model(),
                    move.target(),
                    move.reason().text());
            submit(command, (result, failed) -> {
                if (result instanceof OrderReserved reserved) {
                    intents.put(command.orderId(), new Intent(command, reserved.fencingNumber()));
                    wake(Duration.ZERO);
                    return;
                }
                intents.remove(command.orderId());
                LOGGER.atInfo().log(
                        "%s: %s on %s, %s", LogEvent.TARGET_ORDER_REFUSED, command.model(), command.target(), result);
            });
        }

        private void submit(ControlCommand command, Completion completion) {
            effects.add(() -> environment
                    .client()
                    .submit(command, COMMAND_DEADLINE)
                    .whenComplete((result, failure) ->
                            run(() -> continueWith(current -> completion.completed(result, failure != null)))));
        }

        private void continueWith(Consumer<Term> action) {
            term.filter(current -> current == this).ifPresent(action);
        }

        /** Returns the targets where an order of another controller is open. */
        private Set<TargetId> closed(Observation observation) {
            Set<TargetId> closed = new HashSet<>();
            observation.rows().stream()
                    .filter(row -> row.openOrders().stream()
                            .anyMatch(order -> !order.orderId().startsWith(prefix)))
                    .forEach(row -> closed.add(row.target()));
            return closed;
        }

        private Set<TargetId> settled(Observation observation, long now) {
            Set<TargetId> settled = new HashSet<>();
            observation.announcements().stream()
                    .filter(announcement -> tracker.isSettled(announcement, now))
                    .forEach(announcement -> settled.add(announcement.id()));
            return settled;
        }

        private Map<TargetId, Set<ModelId>> avoided(long now) {
            Map<TargetId, Set<ModelId>> avoided = new HashMap<>();
            avoidedUntil.values().forEach(models -> models.values().removeIf(until -> until <= now));
            avoidedUntil.forEach((target, models) -> avoided.put(target, Set.copyOf(models.keySet())));
            return avoided;
        }
    }

    /** Handles the end of a command. */
    @FunctionalInterface
    private interface Completion {
        void completed(ControlResult result, boolean failed);
    }
}
