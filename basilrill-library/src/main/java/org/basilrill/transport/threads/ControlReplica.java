package org.basilrill.transport.threads;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Predicate;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Outcome;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.PeerSubject;
import org.basilrill.coordination.consensus.AddressedMessage;
import org.basilrill.coordination.consensus.ConsensusSettings;
import org.basilrill.coordination.consensus.Replica;
import org.basilrill.coordination.consensus.ReplicaEnvironment;
import org.basilrill.coordination.consensus.ReplicaRole;
import org.basilrill.coordination.consensus.ReplicaStatus;
import org.basilrill.coordination.control.ControlLog;
import org.basilrill.protocol.peer.ConsensusCodec;
import org.basilrill.state.log.ReplicatedStateMachine;
import org.basilrill.transport.disk.FileFailure;
import org.basilrill.transport.threads.ReplicaTasks.Task;

/**
 * Runs one replica of the control log on a thread of its own. Tasks that arrive while the thread is busy are run as one
 * group, with a single sync for all their proposals. Thread safe; only {@link #close} blocks. Futures complete on the
 * replica's thread, so callbacks must be short or asynchronous. While the disk cannot be written, and for a short time
 * after any other failure, the replica is suspended: it answers no message, and rejects proposals and reads at once. A
 * failure of the state machine, or failures without end, end the process.
 */
public final class ControlReplica implements ControlLog, PeerHandler, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Maximum number of tasks in one group, so that ticks and their heartbeats are not delayed under load. */
    private static final int MAXIMUM_GROUP_TASKS = 1024;

    /** Half of the heartbeat period. Ticks of 10 ms cost a follower without requests about 1% of a core. */
    private static final long TICK_MILLISECONDS = 25;

    private static final long STOP_SECONDS = 10;

    private final InstanceId self;
    private final Collection<InstanceId> founders;
    private final Set<InstanceId> contacts;
    private final ReplicaStorage storage;
    private final ReplicatedStateMachine machine;
    private final ReplicaEnvironment environment;
    private final ScheduledExecutorService executor;
    private final LeaderWatch leaderWatch = LeaderWatch.reportingToLog(System::nanoTime);
    private final ReplicaTasks queuedTasks = new ReplicaTasks();
    private final AtomicBoolean scheduled = new AtomicBoolean();
    /** Empty during an outage; used on the replica's thread. */
    private Optional<Replica> replica = Optional.empty();

    private volatile ReplicaStatus status;
    private volatile Optional<BasilrillException> failure = Optional.empty();

    private ControlReplica(
            InstanceId self,
            Collection<InstanceId> founders,
            Collection<InstanceId> contacts,
            ReplicaStorage storage,
            ReplicatedStateMachine machine,
            PeerChannel channel) {
        this.self = self;
        this.founders = founders;
        this.contacts = ConcurrentHashMap.newKeySet();
        this.contacts.addAll(contacts);
        this.storage = storage;
        this.machine = new GuardedStateMachine(machine);
        this.environment = new ReplicaEnvironment(
                System::nanoTime,
                new SecureRandom(),
                (recipient, message) -> channel.send(recipient, PeerSubject.CONSENSUS, ConsensusCodec.encode(message)),
                (event, detail) -> LOGGER.atInfo().log("%s: %s", event, detail));
        this.status = ReplicaStatus.unopened(self);
        open();
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "control-log");
            thread.setDaemon(true);
            return thread;
        });
        executor.scheduleWithFixedDelay(
                FatalErrorHandler.reportingErrors(() -> runGroup(true)),
                TICK_MILLISECONDS,
                TICK_MILLISECONDS,
                TimeUnit.MILLISECONDS);
    }

    /** Opens the data folder and starts a replica that requests admission from the founding replicas. */
    public static ControlReplica start(
            InstanceId self,
            Collection<InstanceId> founders,
            Path folder,
            ReplicatedStateMachine machine,
            PeerChannel channel) {
        return start(self, founders, founders, folder, machine, channel);
    }

    /**
     * Opens the data folder and starts a replica.
     *
     * @param self name of this instance
     * @param founders instances that found the cluster; the same on every replica, or empty if this replica must not
     *     found one
     * @param contacts instances from which this replica requests admission to the cluster
     * @param folder folder of the control log, created if missing
     * @param machine state machine in its initial state, used only on the replica's thread from now on
     * @param channel sends messages to the other replicas
     * @throws BasilrillException with {@code DISK_FAILED} if the folder cannot be used for a reason that does not pass;
     *     with a full disk the replica starts suspended
     */
    public static ControlReplica start(
            InstanceId self,
            Collection<InstanceId> founders,
            Collection<InstanceId> contacts,
            Path folder,
            ReplicatedStateMachine machine,
            PeerChannel channel) {
        SecureRandom random = new SecureRandom();
        ReplicaStorage storage = new ReplicaStorage(
                () -> ReplicaFolder.open(folder, random),
                failure -> FileFailure.mayPass(failure, folder),
                System::nanoTime);
        return start(self, founders, contacts, storage, machine, channel);
    }

    /** Starts a replica on the given storage; see the other methods. */
    static ControlReplica start(
            InstanceId self,
            Collection<InstanceId> founders,
            Collection<InstanceId> contacts,
            ReplicaStorage storage,
            ReplicatedStateMachine machine,
            PeerChannel channel) {
        return new ControlReplica(self, founders, contacts, storage, machine, channel);
    }

    @Override
    public void received(InstanceId sender, byte[] payload) {
        AddressedMessage message = ConsensusCodec.decode(payload);
        leaderWatch.heard(sender);
        submit(new Task(active -> active.received(sender, message), exception -> {}));
    }

    /** Adds instances from which this replica requests admission while it is not a member. */
    public void addContacts(Collection<InstanceId> instances) {
        contacts.addAll(instances);
        submit(new Task(active -> active.addContacts(instances), exception -> {}));
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        submit(new Task(active -> active.propose(command, result), result::completeExceptionally));
        return result;
    }

    @Override
    public CompletableFuture<Long> confirm() {
        CompletableFuture<Long> confirmed = new CompletableFuture<>();
        submit(new Task(active -> active.confirm(confirmed), confirmed::completeExceptionally));
        return confirmed;
    }

    @Override
    public CompletableFuture<Boolean> handOverLeadership(Predicate<InstanceId> successors) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        // A suspended or stopped replica does not lead.
        submit(new Task(active -> active.handOverLeadership(successors, done), exception -> done.complete(true)));
        return done;
    }

    @Override
    public Optional<InstanceId> leader() {
        return status.leader();
    }

    @Override
    public boolean isLeader() {
        return failure.isEmpty() && status.role() == ReplicaRole.LEADER;
    }

    @Override
    public long term() {
        return status.term();
    }

    /** Returns the state after the last completed group. */
    public ReplicaStatus status() {
        return status;
    }

    /** Returns for how long the disk has not been writable; empty while it is. */
    public Optional<Duration> outage() {
        return storage.diskOutageLength();
    }

    /** Returns for how long this replica has known no leader; empty while it knows one. */
    public Optional<Duration> withoutLeader() {
        return leaderWatch.withoutLeader();
    }

    /** Returns the reason why the replica ended; empty while it runs or is suspended. */
    public Optional<BasilrillException> failure() {
        return failure;
    }

    /**
     * Stops the replica, fails all pending proposals and confirmations, and releases the data folder. Safe to call more
     * than once.
     */
    @Override
    public synchronized void close() {
        if (executor.isShutdown()) {
            return;
        }
        if (failure.isEmpty()) {
            failure = Optional.of(new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "the replica is closed"));
        }
        executor.execute(this::stop);
        executor.shutdown();
        try {
            if (!executor.awaitTermination(STOP_SECONDS, TimeUnit.SECONDS)) {
                LOGGER.atWarning().log("%s: still running after %d s", LogEvent.REPLICA_FAILED, STOP_SECONDS);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private void submit(Task task) {
        queuedTasks.add(task);
        Optional<BasilrillException> unavailability = unavailability();
        if (unavailability.isPresent()) {
            queuedTasks.reject(unavailability.get());
            return;
        }
        if (scheduled.compareAndSet(false, true)) {
            try {
                executor.execute(FatalErrorHandler.reportingErrors(() -> runGroup(false)));
            } catch (RejectedExecutionException exception) {
                queuedTasks.reject(
                        new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "the replica is closed", exception));
            }
        }
    }

    private Optional<BasilrillException> unavailability() {
        return failure.or(() -> storage.outage().map(ReplicaOutage::reason));
    }

    private void runGroup(boolean tick) {
        try {
            runGroupOrFail(tick);
            if (tick) {
                leaderWatch.observe(status);
            }
        } catch (RuntimeException exception) {
            // Propagated, it would end the ticks without a line.
            LOGGER.atSevere().withCause(exception).log("%s: %s", LogEvent.REPLICA_FAILED, exception.getMessage());
        } catch (Error error) {
            failure = Optional.of(new BasilrillException(ErrorCode.INTERNAL, String.valueOf(error), error));
            throw error;
        }
    }

    private void runGroupOrFail(boolean tick) {
        scheduled.set(false);
        if (unavailability().isPresent()) {
            queuedTasks.reject(unavailability().get());
            endOutageIfDue();
            return;
        }
        List<Task> executed = new ArrayList<>();
        try {
            runTasks(replica.orElseThrow(), tick, executed);
        } catch (RuntimeException exception) {
            fail(exception, executed);
            return;
        }
        if (!queuedTasks.isEmpty() && scheduled.compareAndSet(false, true)) {
            executor.execute(FatalErrorHandler.reportingErrors(() -> runGroup(false)));
        }
    }

    private void runTasks(Replica active, boolean tick, List<Task> executed) {
        if (tick) {
            active.tick();
        }
        for (int count = 0; count < MAXIMUM_GROUP_TASKS && !queuedTasks.isEmpty(); count++) {
            Task next = queuedTasks.poll().orElseThrow();
            executed.add(next);
            next.action().accept(active);
        }
        active.flush();
        status = active.status();
    }

    /** Opens the store at the start of the process. A failure that may pass begins an outage. */
    private void open() {
        try {
            createReplica();
        } catch (BasilrillException exception) {
            if (!storage.mayPass(exception)) {
                storage.close();
                throw exception;
            }
            storage.beginOutage(exception);
        }
    }

    private void createReplica() {
        replica = Optional.of(Replica.resume(
                self,
                founders,
                contacts,
                storage.use(),
                machine,
                environment,
                ConsensusSettings.standard(),
                status.commitIndex()));
        status = replica.get().status();
    }

    private void endOutageIfDue() {
        if (failure.isPresent() || !storage.isAttemptDue()) {
            return;
        }
        try {
            createReplica();
        } catch (RuntimeException exception) {
            storage.attemptFailed(exception);
            return;
        }
        storage.endOutage();
    }

    /**
     * Suspends the replica after a failure. What it acknowledged earlier is synced. What failed was not acknowledged
     * and may or may not be on the disk, so nothing is sent until the store has removed it and a new replica has read
     * the store. The state machine keeps its state: it applied whole commands only.
     */
    private void fail(RuntimeException exception, List<Task> executed) {
        BasilrillException reason = ReplicaStorage.reasonOf(exception);
        endReplica();
        status = status.suspended();
        storage.beginOutage(reason);
        queuedTasks.reject(reason);
        BasilrillException unavailable = ReplicaTasks.unavailable(reason).withOutcome(Outcome.MAY_HAVE_RUN);
        executed.forEach(task -> task.onRejection().accept(unavailable));
    }

    private void endReplica() {
        Optional<Replica> ended = replica;
        replica = Optional.empty();
        ended.ifPresent(active -> {
            status = active.status();
            try {
                active.stop();
            } catch (RuntimeException exception) {
                LOGGER.atSevere().withCause(exception).log("%s: %s", LogEvent.REPLICA_FAILED, exception.getMessage());
            }
        });
    }

    private void stop() {
        endReplica();
        queuedTasks.reject(failure.orElseThrow());
        storage.close();
    }
}
