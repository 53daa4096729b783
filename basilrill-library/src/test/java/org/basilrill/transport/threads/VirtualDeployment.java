package org.basilrill.transport.threads;

import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.consensus.AddressedMessage;
import org.basilrill.coordination.consensus.ConsensusSettings;
import org.basilrill.coordination.consensus.ReplicaRole;
import org.basilrill.coordination.consensus.ReplicaStatus;
import org.basilrill.protocol.peer.ConsensusCodec;
import org.basilrill.transport.disk.SimulatedDisk;

/**
 * Runs replicas on virtual time as {@link ControlReplica} runs them: the store on a disk that fails, hangs and is slow,
 * outages as {@link ReplicaStorage} handles them, and one thread for each replica, which does nothing else while it
 * writes. A run is determined by its seed.
 */
final class VirtualDeployment {
    static final long MILLISECOND = 1_000_000;
    private static final long TICK_MILLISECONDS = 25;
    private static final long PROPOSAL_INTERVAL = 40 * MILLISECOND;

    private static final int FOUNDING_MILLISECONDS = 5_000;
    private static final ConsensusSettings SMALL_SNAPSHOTS = new ConsensusSettings(
            Duration.ofMillis(50),
            Duration.ofMillis(250),
            Duration.ofMillis(500),
            Duration.ofMillis(500),
            Duration.ofSeconds(5),
            Duration.ofSeconds(3),
            40,
            1 << 20,
            128,
            256);

    private final Random random;
    private final ConsensusSettings settings;
    private final List<InstanceId> founders = new ArrayList<>();
    private final Map<InstanceId, VirtualReplica> replicas = new TreeMap<>();
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::at).thenComparingLong(Event::number));
    private final Set<InstanceId> isolated = new HashSet<>();
    private final Map<String, Long> lastDeliveries = new HashMap<>();
    private final Map<Long, Long> hashes = ChainMachine.newMap();
    private final Map<Long, Long> commands = ChainMachine.newMap();
    private final Map<Long, Long> acknowledged = ChainMachine.newMap();
    private long now;
    private long eventCount;
    private long commandCount;
    private int lossPercent;
    private boolean proposing = true;

    private VirtualDeployment(long seed, int size, ConsensusSettings settings) {
        this.random = new Random(seed);
        this.settings = settings;
        for (int number = 0; number < size; number++) {
            founders.add(new InstanceId("replica-" + number));
        }
        founders.forEach(instance ->
                replicas.put(instance, new VirtualReplica(instance, founders, settings, new Environment())));
        schedule(PROPOSAL_INTERVAL, this::proposeAndRepeat);
        replicas.values().forEach(VirtualReplica::beginTicks);
        replicas.values().forEach(VirtualReplica::start);
    }

    /** Returns a deployment that has a leader, with snapshots so small and frequent that short histories have some. */
    static VirtualDeployment founded(long seed, int size) {
        VirtualDeployment deployment = new VirtualDeployment(seed, size, SMALL_SNAPSHOTS);
        if (!deployment.runUntil(() -> deployment.leader().isPresent(), FOUNDING_MILLISECONDS)) {
            throw new AssertionError("not founded: " + deployment.statuses());
        }
        return deployment;
    }

    InstanceId instance(int number) {
        return founders.get(number);
    }

    int size() {
        return founders.size();
    }

    /** Returns the leader of the highest term that can act. */
    Optional<InstanceId> leader() {
        return replicas.values().stream()
                .filter(replica -> replica.takesPart() && replica.status().role() == ReplicaRole.LEADER)
                .max(Comparator.comparingLong(replica -> replica.status().term()))
                .map(VirtualReplica::instance);
    }

    ReplicaStatus status(InstanceId instance) {
        return replicas.get(instance).status();
    }

    Collection<ReplicaStatus> statuses() {
        return replicas.values().stream().map(VirtualReplica::status).toList();
    }

    int acknowledgedCount() {
        return acknowledged.size();
    }

    void setProposing(boolean isProposing) {
        proposing = isProposing;
    }

    SimulatedDisk disk(InstanceId instance) {
        return replicas.get(instance).disk();
    }

    /** Makes every change of the disk wait until the given time from now. */
    void hangDisk(InstanceId instance, long milliseconds) {
        replicas.get(instance).hangDisk(milliseconds * MILLISECOND);
    }

    void setChangeMicroseconds(InstanceId instance, long microseconds) {
        replicas.get(instance).setChangeNanos(microseconds * MILLISECOND / 1_000);
    }

    void resetDiskSpeed(InstanceId instance) {
        replicas.get(instance).resetDiskSpeed();
    }

    /** Stops the thread of the replica for the given time, while its clock goes on and messages wait. */
    void freeze(InstanceId instance, long milliseconds) {
        replicas.get(instance).freeze(milliseconds * MILLISECOND);
    }

    void isolate(InstanceId instance) {
        isolated.add(instance);
    }

    void rejoin(InstanceId instance) {
        isolated.remove(instance);
    }

    void setLossPercent(int percent) {
        lossPercent = percent;
    }

    /** Ends the process of the replica, with or without a loss of power. */
    void kill(InstanceId instance, boolean powerLost) {
        replicas.get(instance).end();
        if (powerLost) {
            disk(instance).losePower();
        }
    }

    /** Starts the process of the replica unless it runs. */
    void start(InstanceId instance) {
        replicas.get(instance).start();
    }

    /** Ends the process of the replica and starts one with an empty disk and a new incarnation. */
    void replaceDisk(InstanceId instance) {
        VirtualReplica replica = replicas.get(instance);
        replica.end();
        replica.replaceDisk();
        replica.start();
    }

    /** Returns whether all other replicas run, are members, and have committed all that they hold. */
    boolean othersAreSoundMembers(InstanceId except) {
        List<ReplicaStatus> others = replicas.values().stream()
                .filter(replica -> !replica.instance().equals(except) && replica.takesPart())
                .map(VirtualReplica::status)
                .toList();
        boolean complete = others.size() == size() - 1;
        return complete
                && others.stream()
                        .allMatch(status -> status.commitIndex() == status.lastIndex()
                                && status.commitIndex() == others.get(0).commitIndex()
                                && others.stream()
                                        .allMatch(other -> status.members().contains(other.self())));
    }

    /** Ends all faults. */
    void heal() {
        isolated.clear();
        lossPercent = 0;
        replicas.values().forEach(VirtualReplica::heal);
    }

    /**
     * Proposes to the leader until a command is acknowledged; returns its index, or empty after the given time.
     */
    Optional<Long> acknowledgeNext(long milliseconds) {
        long end = now + milliseconds * MILLISECOND;
        while (now < end) {
            Optional<CompletableFuture<byte[]>> proposed = leader().map(this::propose);
            runUntil(
                    () -> proposed.filter(result -> !result.isDone()).isEmpty(),
                    proposed.isPresent() ? (end - now) / MILLISECOND : TICK_MILLISECONDS);
            run(1);
            if (proposed.filter(result -> result.isDone() && !result.isCompletedExceptionally())
                    .isPresent()) {
                return proposed.map(result -> ByteBuffer.wrap(result.join()).getLong());
            }
        }
        return Optional.empty();
    }

    /** Returns whether every replica has applied the index. */
    boolean allApplied(long index) {
        return replicas.values().stream().allMatch(replica -> replica.appliedIndex() >= index);
    }

    /** Throws if an acknowledged command is not in the history that all replicas share. */
    void checkAcknowledged() {
        acknowledged.forEach((index, command) -> {
            if (!command.equals(commands.get(index))) {
                throw new AssertionError("acknowledged command " + command + " is not at " + index);
            }
        });
    }

    boolean runUntil(BooleanSupplier condition, long milliseconds) {
        long end = now + milliseconds * MILLISECOND;
        while (now < end && !condition.getAsBoolean()) {
            run(1);
        }
        return condition.getAsBoolean();
    }

    void run(long milliseconds) {
        long end = now + milliseconds * MILLISECOND;
        while (!events.isEmpty() && events.peek().at() <= end) {
            Event next = events.poll();
            now = Math.max(now, next.at());
            next.action().run();
        }
        now = end;
    }

    /** Runs the action after the given time. */
    void after(long milliseconds, Runnable action) {
        schedule(milliseconds * MILLISECOND, action);
    }

    private void proposeAndRepeat() {
        if (proposing) {
            leader().ifPresent(this::propose);
        }
        schedule(PROPOSAL_INTERVAL, this::proposeAndRepeat);
    }

    private CompletableFuture<byte[]> propose(InstanceId instance) {
        long command = ++commandCount;
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        result.thenAccept(index -> acknowledged.put(ByteBuffer.wrap(index).getLong(), command));
        replicas.get(instance)
                .submit(
                        replica -> replica.propose(ChainMachine.command(command), result),
                        result::completeExceptionally);
        return result;
    }

    private void schedule(long delayNanos, Runnable action) {
        events.add(new Event(now + delayNanos, eventCount++, action));
    }

    private void send(VirtualReplica sender, long sentAt, InstanceId recipient, AddressedMessage message) {
        if (!replicas.containsKey(recipient) || random.nextInt(100) < lossPercent) {
            return;
        }
        byte[] payload = ConsensusCodec.encode(message);
        String path = sender.instance() + " to " + recipient;
        // Messages between two instances keep their order, as on one connection.
        long at = Math.max(
                sentAt + random.nextLong(MILLISECOND / 4, 3 * MILLISECOND), lastDeliveries.getOrDefault(path, 0L));
        lastDeliveries.put(path, at);
        events.add(new Event(at, eventCount++, () -> deliver(sender.instance(), recipient, payload)));
    }

    private void deliver(InstanceId sender, InstanceId recipient, byte[] payload) {
        if (isolated.contains(sender) || isolated.contains(recipient)) {
            return;
        }
        AddressedMessage message = ConsensusCodec.decode(payload);
        replicas.get(recipient).submit(replica -> replica.received(sender, message), failure -> {});
    }

    /** An action at a time. */
    private record Event(long at, long number, Runnable action) {}

    /** Gives a replica its clock, its random numbers, and its way to the others. */
    private final class Environment implements VirtualReplica.Host {
        @Override
        public long now() {
            return now;
        }

        @Override
        public Random random() {
            return random;
        }

        @Override
        public void at(long time, Runnable action) {
            events.add(new Event(time, eventCount++, action));
        }

        @Override
        public void send(VirtualReplica sender, long sentAt, InstanceId recipient, AddressedMessage message) {
            VirtualDeployment.this.send(sender, sentAt, recipient, message);
        }

        @Override
        public ChainMachine newMachine() {
            return new ChainMachine(hashes, commands);
        }
    }
}
