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
 * Runs one replica of the control log on a thread of its own. What arrives while the thread is busy is handled as one
 * group, with one sync for all its proposals. Thread safe; no method but {@link #close} blocks. Futures complete on the
 * replica's thread, so callbacks must be short or asynchronous. A failing disk stops the replica for good.
 */
public final class ControlReplica implements ControlLog, PeerHandler, AutoCloseable {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Bounds how much is handled between two ticks, so that heartbeats are not delayed under load. */
    private static final int GROUP_LIMIT = 1024;

    /** Half of the heartbeat period; ticks of 10 ms cost an idle follower about 1% of a core. */
    private static final long TICK_MILLISECONDS = 25;

    private static final long STOP_SECONDS = 10;

    private final FileDurableStore store;
    private final Replica replica;
    private final ScheduledExecutorService executor;
    private final ConcurrentLinkedQueue<Task> waiting = new ConcurrentLinkedQueue<>();
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
        executor.scheduleWithFixedDelay(() -> group(true), TICK_MILLISECONDS, TICK_MILLISECONDS, TimeUnit.MILLISECONDS);
    }

    /** Starts a replica that asks the founding replicas to admit it. */
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
     * @param founders instances that found the cluster; the same on every replica, or empty if this one must not found
     * @param contacts instances that are asked to admit this one
     * @param folder folder of the control log, created if missing
     * @param machine state machine in its initial state, used only on the replica's thread from now on
     * @param channel carries messages to the other replicas
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

    /** Adds instances that are asked to admit this replica while it is no member. */
    public void learnContacts(Collection<InstanceId> instances) {
        submit(new Task(() -> replica.learnContacts(instances), exception -> {}));
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        submit(new Task(() -> replica.propose(command, result), result::completeExceptionally));
        return result;
    }

    @Override
    public CompletableFuture<Long> confirm() {
        CompletableFuture<Long> answer = new CompletableFuture<>();
        submit(new Task(() -> replica.confirm(answer), answer::completeExceptionally));
        return answer;
    }

    /**
     * Hands the leadership to another replica, if this one leads.
     *
     * @return whether this replica does not lead any more; fails with {@code CONTROL_UNAVAILABLE} after a stop
     */
    public CompletableFuture<Boolean> handOverLeadership() {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        submit(new Task(() -> replica.handOverLeadership(done), done::completeExceptionally));
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

    /** Returns the state after the last handled group. */
    public ReplicaStatus status() {
        return status;
    }

    /** Returns why the replica stopped, if it did. */
    public Optional<BasilrillException> failure() {
        return failure;
    }

    /** Stops the replica, fails what is open and releases the data folder. Safe to call more than once. */
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
        waiting.add(task);
        if (failure.isPresent()) {
            rejectWaiting(failure.get());
            return;
        }
        if (scheduled.compareAndSet(false, true)) {
            try {
                executor.execute(() -> group(false));
            } catch (RejectedExecutionException exception) {
                rejectWaiting(
                        new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "the replica is closed", exception));
            }
        }
    }

    private void group(boolean tick) {
        if (failure.isPresent()) {
            rejectWaiting(failure.get());
            return;
        }
        scheduled.set(false);
        List<Task> handled = new ArrayList<>();
        try {
            if (tick) {
                replica.tick();
            }
            for (int count = 0; count < GROUP_LIMIT && !waiting.isEmpty(); count++) {
                Task next = waiting.poll();
                handled.add(next);
                next.action().run();
            }
            replica.flush();
            status = replica.status();
        } catch (RuntimeException exception) {
            fail(exception, handled);
            return;
        }
        if (!waiting.isEmpty() && scheduled.compareAndSet(false, true)) {
            executor.execute(() -> group(false));
        }
    }

    /** A replica whose disk or state failed must not answer again, since it may have forgotten what it promised. */
    private void fail(RuntimeException exception, List<Task> handled) {
        BasilrillException reason = exception instanceof BasilrillException typed
                ? typed
                : new BasilrillException(ErrorCode.INTERNAL, String.valueOf(exception.getMessage()), exception);
        LOGGER.atSevere().withCause(exception).log("%s: %s", LogEvent.REPLICA_FAILED, reason.getMessage());
        failure = Optional.of(reason);
        stop();
        BasilrillException unavailable = unavailable(reason).withOutcome(Outcome.MAY_HAVE_RUN);
        handled.forEach(task -> task.rejected().accept(unavailable));
    }

    private void stop() {
        replica.stop();
        status = replica.status();
        rejectWaiting(failure.orElseThrow());
        store.close();
    }

    private void rejectWaiting(BasilrillException reason) {
        for (Task next = waiting.poll(); next != null; next = waiting.poll()) {
            next.rejected().accept(unavailable(reason));
        }
    }

    private static BasilrillException unavailable(BasilrillException reason) {
        return new BasilrillException(
                ErrorCode.CONTROL_UNAVAILABLE, "the replica has stopped: " + reason.getMessage(), reason);
    }

    /** Something to do on the replica's thread, and what to do instead once the replica has stopped. */
    private record Task(Runnable action, Consumer<BasilrillException> rejected) {}
}
