package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.Scheduler;
import org.basilrill.api.VirtualTime;
import org.basilrill.protocol.peer.ThriftPlacementCodec;
import org.basilrill.state.control.CommandCodec;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.control.ResultCodec;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetRegistry;

/**
 * Controller under test with its replica, its view of the targets and its links, which lose, delay, repeat and reorder
 * messages. A paused controller queues its tasks and runs them when it resumes. Not thread safe.
 */
final class FuzzController implements ControlClient, TargetOrderClient, Scheduler {
    private final FuzzControlLog log;
    private final FuzzOracle oracle;
    private final VirtualTime time;
    private final Random random;
    private final ControlStateMachine replica = new ControlStateMachine();
    private final TargetRegistry registry;
    private final List<Runnable> deferredTasks = new ArrayList<>();
    private final PlacementController controller;
    private final DemandAggregator demand;
    private long appliedIndex;
    private boolean leads;
    private boolean paused;
    private boolean crashed;

    FuzzController(String name, FuzzControlLog log, FuzzOracle oracle) {
        this.log = log;
        this.oracle = oracle;
        time = oracle.time();
        random = oracle.random();
        registry = new TargetRegistry(time);
        demand = new DemandAggregator(time);
        InstanceId self = new InstanceId(name);
        PlacementMessenger messenger =
                new PlacementMessenger(self, (to, subject, payload) -> {}, new ThriftPlacementCodec(), this);
        PlacementEnvironment environment = new PlacementEnvironment(
                self, () -> leads, replica, this, registry, this, time, this, new Random(random.nextLong()));
        controller = new PlacementController(environment, PlacementSettings.defaults(), demand, messenger);
        step(controller::start);
    }

    DemandAggregator demand() {
        return demand;
    }

    PlacementController controller() {
        return controller;
    }

    void lead(boolean value) {
        leads = value;
    }

    void pause(boolean value) {
        paused = value;
        if (!paused) {
            List<Runnable> due = List.copyOf(deferredTasks);
            deferredTasks.clear();
            due.forEach(this::step);
        }
    }

    void crash() {
        crashed = true;
    }

    void receiveAnnouncement(TargetAnnouncement announcement, Duration age) {
        if (!paused) {
            registry.announce(announcement, age);
        }
    }

    @Override
    public Cancellable schedule(Duration delay, Runnable task) {
        return time.schedule(delay, () -> step(task));
    }

    @Override
    public CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline) {
        CompletableFuture<ControlResult> future = new CompletableFuture<>();
        int copies = log.faulty() ? random.nextInt(3) : 1;
        for (int copy = 0; copy < copies; copy++) {
            time.schedule(delay(), () -> {
                ControlResult result = log.append(command);
                if (!isMessageLost()) {
                    schedule(delay(), () -> future.complete(result));
                }
            });
        }
        schedule(
                deadline,
                () -> future.completeExceptionally(
                        new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "control log is unresponsive")));
        return future;
    }

    @Override
    public CompletableFuture<Optional<OrderOutcome>> send(TargetAnnouncement target, Order order) {
        return call(target, receiver -> receiver.execute(order));
    }

    @Override
    public CompletableFuture<Optional<OrderOutcome>> outcome(TargetAnnouncement target, String orderId) {
        return call(target, receiver -> receiver.outcome(orderId));
    }

    @Override
    public ControlView view() {
        return replica.view();
    }

    @Override
    public Optional<Duration> confirmationAge() {
        return Optional.of(Duration.ZERO);
    }

    @Override
    public boolean isCurrent() {
        return true;
    }

    @Override
    public long sessionId() {
        return 1;
    }

    @Override
    public boolean holdsSession() {
        return true;
    }

    @Override
    public void onView(Consumer<ControlView> listener) {
        // The controller reads its replica.
    }

    /**
     * Runs one step of the controller unless it is paused or crashed; its replica may lag behind the log by a few
     * entries.
     */
    private void step(Runnable task) {
        if (paused) {
            deferredTasks.add(task);
        } else if (!crashed) {
            long lag = log.faulty() ? random.nextInt(4) : 0;
            appliedIndex = log.replay(replica, appliedIndex, log.size() - lag);
            task.run();
        }
    }

    private CompletableFuture<Optional<OrderOutcome>> call(
            TargetAnnouncement target, java.util.function.Function<FuzzTarget, Optional<OrderOutcome>> action) {
        CompletableFuture<Optional<OrderOutcome>> future = new CompletableFuture<>();
        FuzzTarget receiver = oracle.targets().stream()
                .filter(candidate -> candidate.id().equals(target.id()))
                .findFirst()
                .orElseThrow();
        int copies = log.faulty() && random.nextInt(4) == 0 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (isMessageLost()) {
                continue;
            }
            time.schedule(delay(), () -> {
                if (receiver.incarnation() != target.incarnation()) {
                    return;
                }
                Supplier<Optional<OrderOutcome>> result = () -> action.apply(receiver);
                Optional<OrderOutcome> outcome = result.get();
                if (!isMessageLost()) {
                    schedule(delay(), () -> future.complete(outcome));
                }
            });
        }
        return future;
    }

    private boolean isMessageLost() {
        return log.faulty() && random.nextInt(5) == 0;
    }

    private Duration delay() {
        boolean late = log.faulty() && random.nextInt(10) == 0;
        return Duration.ofMillis(1 + random.nextInt(late ? 3000 : 100));
    }

    /** Control log with a reference state machine that has applied all entries. */
    static final class FuzzControlLog {
        private final List<byte[]> entries = new ArrayList<>();
        private final ControlStateMachine referenceState = new ControlStateMachine();
        private boolean faulty = true;

        boolean faulty() {
            return faulty;
        }

        void stopFaults() {
            faulty = false;
        }

        long size() {
            return entries.size();
        }

        ControlStateMachine referenceState() {
            return referenceState;
        }

        ControlResult append(ControlCommand command) {
            byte[] entry = CommandCodec.encode(command);
            entries.add(entry);
            return ResultCodec.decode(referenceState.apply(entries.size(), entry));
        }

        long replay(ControlStateMachine replica, long from, long to) {
            for (long index = from; index < to; index++) {
                replica.apply(index + 1, entries.get((int) index));
            }
            return Math.max(from, to);
        }
    }
}
