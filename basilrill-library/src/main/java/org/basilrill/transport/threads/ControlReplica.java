package org.basilrill.transport.threads;

import com.google.common.flogger.FluentLogger;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executors;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Consumer;
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
import org.basilrill.transport.disk.FileDurableStore;

/**
 * Runs one replica of the control log on a thread of its own. Tasks that arrive while the thread is busy are run as one
 * group, with a single sync for all their proposals. Thread safe; only {@link #close} blocks. Futures complete on the
 * replica's thread, so callbacks must be short or asynchronous. A disk failure stops the replica permanently.
 */
public final class ControlReplica implements ControlLog, PeerHandler, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Maximum number of tasks in one group, so that ticks and their heartbeats are not delayed under load. */
    private static final int MAXIMUM_GROUP_TASKS = 1024;

    /** Half of the heartbeat period. Ticks of 10 ms cost a follower without requests about 1% of a core. */
    private static final long TICK_MILLISECONDS = 25;

    private static final long STOP_SECONDS = 10;

    private final FileDurableStore store;
    private final Replica replica;
    private final ScheduledExecutorService executor;
    private final ConcurrentLinkedQueue<Task> queuedTasks = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean scheduled = new AtomicBoolean();
    private volatile ReplicaStatus status;
    private volatile Optional<BasilrillException> failure = Optional.empty();

    private ControlReplica(
            InstanceId self,
            Collection<InstanceId> founders,
            Collection<InstanceId> contacts,
            FileDurableStore store,
            ReplicatedStateMachine machine,
            PeerChannel channel) {
        this.store = store;
        ReplicaEnvironment environment = new ReplicaEnvironment(
                System::nanoTime,
                new SecureRandom(),
                (recipient, message) -> channel.send(recipient, PeerSubject.CONSENSUS, ConsensusCodec.encode(message)),
                (event, detail) -> LOGGER.atInfo().log("%s: %s", event, detail));
        this.replica = new Replica(self, founders, contacts, store, machine, environment, ConsensusSettings.standard());
        this.status = replica.status();
        this.executor = Executors.newSingleThreadScheduledExecutor(task -> {
            Thread thread = new Thread(task, "control-log");
            thread.setDaemon(true);
            return thread;
        });
        executor.scheduleWithFixedDelay(
                () -> runGroup(true), TICK_MILLISECONDS, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
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
     * @throws BasilrillException with {@code DISK_FAILED} if the folder cannot be used
     */
    public static ControlReplica start(
            InstanceId self,
            Collection<InstanceId> founders,
            Collection<InstanceId> contacts,
            Path folder,
            ReplicatedStateMachine machine,
            PeerChannel channel) {
        FileDurableStore store = ReplicaFolder.open(folder, new SecureRandom());
        try {
            return new ControlReplica(self, founders, contacts, store, machine, channel);
        } catch (RuntimeException exception) {
            store.close();
            throw exception;
        }
    }

    @Override
    public void received(InstanceId sender, byte[] payload) {
        AddressedMessage message = ConsensusCodec.decode(payload);
        submit(new Task(() -> replica.received(sender, message), exception -> {}));
    }

    /** Adds instances from which this replica requests admission while it is not a member. */
    public void addContacts(Collection<InstanceId> instances) {
        submit(new Task(() -> replica.addContacts(instances), exception -> {}));
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        submit(new Task(() -> replica.propose(command, result), result::completeExceptionally));
        return result;
    }

    @Override
    public CompletableFuture<Long> confirm() {
        CompletableFuture<Long> confirmed = new CompletableFuture<>();
        submit(new Task(() -> replica.confirm(confirmed), confirmed::completeExceptionally));
        return confirmed;
    }

    @Override
    public CompletableFuture<Boolean> handOverLeadership(Predicate<InstanceId> successors) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        submit(new Task(() -> replica.handOverLeadership(successors, done), done::completeExceptionally));
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

    /** Returns the reason why the replica stopped; empty while it runs. */
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
        if (failure.isPresent()) {
            rejectQueuedTasks(failure.get());
            return;
        }
        if (scheduled.compareAndSet(false, true)) {
            try {
                executor.execute(() -> runGroup(false));
            } catch (RejectedExecutionException exception) {
                rejectQueuedTasks(
                        new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "the replica is closed", exception));
            }
        }
    }

    private void runGroup(boolean tick) {
        if (failure.isPresent()) {
            rejectQueuedTasks(failure.get());
            return;
        }
        scheduled.set(false);
        List<Task> executed = new ArrayList<>();
        try {
            if (tick) {
                replica.tick();
            }
            for (int count = 0; count < MAXIMUM_GROUP_TASKS && !queuedTasks.isEmpty(); count++) {
                Task next = queuedTasks.poll();
                executed.add(next);
                next.action().run();
            }
            replica.flush();
            status = replica.status();
        } catch (RuntimeException exception) {
            fail(exception, executed);
            return;
        }
        if (!queuedTasks.isEmpty() && scheduled.compareAndSet(false, true)) {
            executor.execute(() -> runGroup(false));
        }
    }

    /**
     * Stops the replica after a failure of its disk or state. It must not respond to other replicas again, since votes
     * or entries that it has acknowledged may be lost.
     */
    private void fail(RuntimeException exception, List<Task> executed) {
        BasilrillException reason = exception instanceof BasilrillException typed
                ? typed
                : new BasilrillException(ErrorCode.INTERNAL, String.valueOf(exception.getMessage()), exception);
        LOGGER.atSevere().withCause(exception).log("%s: %s", LogEvent.REPLICA_FAILED, reason.getMessage());
        failure = Optional.of(reason);
        stop();
        BasilrillException unavailable = unavailable(reason).withOutcome(Outcome.MAY_HAVE_RUN);
        executed.forEach(task -> task.onRejection().accept(unavailable));
    }

    private void stop() {
        replica.stop();
        status = replica.status();
        rejectQueuedTasks(failure.orElseThrow());
        store.close();
    }

    private void rejectQueuedTasks(BasilrillException reason) {
        for (Task next = queuedTasks.poll(); next != null; next = queuedTasks.poll()) {
            next.onRejection().accept(unavailable(reason));
        }
    }

    private static BasilrillException unavailable(BasilrillException reason) {
        return new BasilrillException(
                ErrorCode.CONTROL_UNAVAILABLE, "the replica has stopped: " + reason.getMessage(), reason);
    }

    /** An action for the replica's thread, and a callback that is called instead once the replica has stopped. */
    private record Task(Runnable action, Consumer<BasilrillException> onRejection) {}
}
