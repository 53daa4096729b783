package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Optional;
import java.util.Queue;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.consensus.ConsensusSettings;
import org.basilrill.coordination.consensus.Replica;
import org.basilrill.coordination.consensus.ReplicaEnvironment;
import org.basilrill.coordination.consensus.ReplicaRole;
import org.basilrill.coordination.consensus.ReplicaStatus;
import org.basilrill.coordination.control.ControlLog;
import org.basilrill.protocol.peer.ConsensusCodec;
import org.basilrill.state.log.DurableStore;
import org.basilrill.state.log.ReplicatedStateMachine;

/**
 * Drives one replica of the control log on a virtual scheduler, as the thread of a real instance does: all actions that
 * are due at the same time run as one batch with one flush. Not thread safe.
 */
public final class VirtualReplica implements ControlLog, PeerHandler {
    private static final Duration TICK = Duration.ofMillis(10);

    private final Replica replica;
    private final Scheduler scheduler;
    private final Queue<Runnable> pendingActions = new ArrayDeque<>();
    private boolean scheduled;

    public VirtualReplica(
            InstanceId self,
            Collection<InstanceId> founders,
            DurableStore store,
            ReplicatedStateMachine machine,
            ReplicaEnvironment environment,
            ConsensusSettings settings,
            Scheduler scheduler) {
        this.replica = new Replica(self, founders, founders, store, machine, environment, settings);
        this.scheduler = scheduler;
        tickAndRepeat();
    }

    @Override
    public void received(InstanceId sender, byte[] payload) {
        enqueue(() -> replica.received(sender, ConsensusCodec.decode(payload)));
    }

    @Override
    public CompletableFuture<byte[]> propose(byte[] command) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        enqueue(() -> replica.propose(command, result));
        return result;
    }

    @Override
    public CompletableFuture<Long> confirm() {
        CompletableFuture<Long> result = new CompletableFuture<>();
        enqueue(() -> replica.confirm(result));
        return result;
    }

    @Override
    public CompletableFuture<Boolean> handOverLeadership(Predicate<InstanceId> successors) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        enqueue(() -> replica.handOverLeadership(successors, done));
        return done;
    }

    @Override
    public Optional<InstanceId> leader() {
        return status().leader();
    }

    @Override
    public boolean isLeader() {
        return status().role() == ReplicaRole.LEADER;
    }

    @Override
    public long term() {
        return status().term();
    }

    /** Returns the current state of the replica. */
    public ReplicaStatus status() {
        return replica.status();
    }

    private void enqueue(Runnable action) {
        pendingActions.add(action);
        if (!scheduled) {
            scheduled = true;
            scheduler.schedule(Duration.ZERO, this::runPendingActions);
        }
    }

    private void runPendingActions() {
        scheduled = false;
        for (int remaining = pendingActions.size(); remaining > 0; remaining--) {
            pendingActions.remove().run();
        }
        replica.flush();
    }

    private void tickAndRepeat() {
        scheduler.schedule(TICK, () -> {
            replica.tick();
            replica.flush();
            tickAndRepeat();
        });
    }
}
