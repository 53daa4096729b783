package org.basilrill.transport.threads;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Consumer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.consensus.AddressedMessage;
import org.basilrill.coordination.consensus.ConsensusSettings;
import org.basilrill.coordination.consensus.Replica;
import org.basilrill.coordination.consensus.ReplicaEnvironment;
import org.basilrill.coordination.consensus.ReplicaStatus;
import org.basilrill.transport.disk.SimulatedDisk;

/** One process of a {@link VirtualDeployment}, with its disk and the thread of its replica. All times are in ns. */
final class VirtualReplica {
    private static final long MILLISECOND = VirtualDeployment.MILLISECOND;
    private static final long TICK = 25 * MILLISECOND;
    /** Time that one change of a sound disk takes. */
    private static final long SOUND_CHANGE = MILLISECOND / 10;

    private final InstanceId instance;
    private final List<InstanceId> founders;
    private final ConsensusSettings settings;
    private final Host host;
    private final Deque<Task> tasks = new ArrayDeque<>();
    private SimulatedDisk disk;
    private long changeNanos = SOUND_CHANGE;
    private long hangsUntil;
    /** Time spent with writing since the current action began. */
    private long lag;

    private long busyUntil;
    private boolean up;
    private ReplicaStorage storage;
    private ChainMachine machine;
    private Optional<Replica> replica = Optional.empty();
    private ReplicaStatus status;

    VirtualReplica(InstanceId instance, List<InstanceId> founders, ConsensusSettings settings, Host host) {
        this.instance = instance;
        this.founders = founders;
        this.settings = settings;
        this.host = host;
        this.machine = host.newMachine();
        this.status = ReplicaStatus.unopened(instance);
        replaceDisk();
    }

    InstanceId instance() {
        return instance;
    }

    ReplicaStatus status() {
        return status;
    }

    SimulatedDisk disk() {
        return disk;
    }

    /** Returns whether the process runs and its replica is not suspended. */
    boolean takesPart() {
        return replica.isPresent();
    }

    long appliedIndex() {
        return machine.appliedIndex();
    }

    /** Makes every change of the disk wait for the given time from now. */
    void hangDisk(long nanos) {
        hangsUntil = host.now() + nanos;
    }

    void setChangeNanos(long nanos) {
        changeNanos = nanos;
    }

    void resetDiskSpeed() {
        changeNanos = SOUND_CHANGE;
    }

    /** Stops the thread for the given time, while its clock goes on and messages wait. */
    void freeze(long nanos) {
        busyUntil = Math.max(busyUntil, host.now() + nanos);
        host.at(busyUntil, () -> wake(true));
    }

    void replaceDisk() {
        disk = new SimulatedDisk(host.random().nextLong());
        disk.setChangeListener(() -> lag += Math.max(0, hangsUntil - host.now() - lag) + changeNanos);
    }

    /** Ends all faults of this replica. */
    void heal() {
        disk.repair();
        resetDiskSpeed();
        hangsUntil = host.now();
        start();
    }

    /** Starts the process unless it runs. */
    void start() {
        if (up) {
            return;
        }
        up = true;
        busyUntil = host.now();
        Random incarnations = new Random(host.random().nextLong());
        SimulatedDisk used = disk;
        storage = new ReplicaStorage(() -> used.open(incarnations), failure -> true, this::time);
        machine = host.newMachine();
        status = ReplicaStatus.unopened(instance);
        try {
            createReplica();
        } catch (BasilrillException exception) {
            requireDiskFailure(exception);
            storage.beginOutage(exception);
        }
        writingEnded();
    }

    /** Ends the process. */
    void end() {
        replica.ifPresent(Replica::stop);
        replica = Optional.empty();
        up = false;
        tasks.clear();
        status = ReplicaStatus.unopened(instance);
    }

    /** Queues an action, or drops it if the process does not run. */
    void submit(Consumer<Replica> action, Consumer<BasilrillException> onRejection) {
        if (up) {
            tasks.add(new Task(action, onRejection));
            wake(false);
        }
    }

    void beginTicks() {
        host.at(host.now() + host.random().nextLong(TICK), this::tickAndRepeat);
    }

    private void tickAndRepeat() {
        wake(true);
        host.at(host.now() + TICK, this::tickAndRepeat);
    }

    /** Runs what is queued, unless the thread is still writing. */
    private void wake(boolean tick) {
        if (!up || busyUntil > host.now()) {
            return;
        }
        if (storage.outage().isPresent()) {
            rejectTasks(storage.outage().get().reason());
            endOutageIfDue();
        } else {
            runGroup(tick);
        }
        writingEnded();
    }

    private void writingEnded() {
        busyUntil = Math.max(busyUntil, time());
        lag = 0;
        if (busyUntil > host.now()) {
            host.at(busyUntil, () -> wake(true));
        }
    }

    private void runGroup(boolean tick) {
        Replica active = replica.orElseThrow();
        try {
            if (tick) {
                active.tick();
            }
            while (!tasks.isEmpty()) {
                tasks.poll().action().accept(active);
            }
            active.flush();
            status = active.status();
        } catch (BasilrillException exception) {
            requireDiskFailure(exception);
            storage.beginOutage(exception);
            active.stop();
            status = active.status().suspended();
            replica = Optional.empty();
            rejectTasks(exception);
        }
    }

    private void endOutageIfDue() {
        if (!storage.isAttemptDue()) {
            return;
        }
        try {
            createReplica();
        } catch (BasilrillException exception) {
            requireDiskFailure(exception);
            storage.attemptFailed(exception);
            return;
        }
        storage.endOutage();
    }

    private void createReplica() {
        ReplicaEnvironment environment = new ReplicaEnvironment(
                this::time,
                new Random(host.random().nextLong()),
                (recipient, message) -> host.send(this, time(), recipient, message),
                (event, detail) -> {});
        replica = Optional.of(Replica.resume(
                instance, founders, founders, storage.use(), machine, environment, settings, status.commitIndex()));
        status = replica.get().status();
    }

    private long time() {
        return host.now() + lag;
    }

    private void rejectTasks(BasilrillException reason) {
        while (!tasks.isEmpty()) {
            tasks.poll().onRejection().accept(reason);
        }
    }

    private static void requireDiskFailure(BasilrillException exception) {
        if (!ReplicaStorage.isDiskFailure(exception)) {
            throw exception;
        }
    }

    /** What a replica uses of its deployment. */
    interface Host {
        long now();

        Random random();

        void at(long time, Runnable action);

        void send(VirtualReplica sender, long sentAt, InstanceId recipient, AddressedMessage message);

        ChainMachine newMachine();
    }

    /** A queued action for a replica, and what is called if there is none. */
    private record Task(Consumer<Replica> action, Consumer<BasilrillException> onRejection) {}
}
