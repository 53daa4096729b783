package org.basilrill.coordination.consensus;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.protocol.peer.ConsensusCodec;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Snapshot;
import org.basilrill.state.log.InMemoryDurableStore;

/**
 * Simulates replicas in one thread with a virtual clock. Encoded messages may be lost, delayed, duplicated or
 * reordered; stores survive crashes. A run is determined by the seed.
 */
final class VirtualCluster {
    private static final long MILLISECOND = 1_000_000;
    private static final long TICK = 10 * MILLISECOND;
    /** Negative, as a monotonic clock may be: replicas that compared it with 0 never founded the cluster. */
    private static final long CLOCK_ORIGIN = -Duration.ofDays(1).toNanos();

    private final Random random;
    private final HistoryOracle oracle = new HistoryOracle();
    private final List<InstanceId> founders = new ArrayList<>();
    private final ConsensusSettings settings;
    private final Map<InstanceId, Node> nodes = new TreeMap<>();
    private final PriorityQueue<Delivery> deliveries =
            new PriorityQueue<>(Comparator.comparingLong(Delivery::at).thenComparingLong(Delivery::number));
    private final Set<InstanceId> isolated = new HashSet<>();
    private final List<LogEvent> events = new ArrayList<>();
    private long now = MILLISECOND;
    private long messageCount;
    private long commandCount;
    private int lossPercent;
    private int duplicatePercent;
    private int delayPercent;
    private final VirtualLinks links = new VirtualLinks();

    VirtualCluster(long seed, int size, ConsensusSettings settings) {
        this.random = new Random(seed);
        this.settings = settings;
        for (int number = 0; number < size; number++) {
            founders.add(new InstanceId("replica-" + number));
        }
        founders.forEach(this::startEmpty);
    }

    /** Returns settings with snapshots small and frequent enough that short histories produce them. */
    static ConsensusSettings smallSnapshots() {
        return new ConsensusSettings(
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
    }

    void setMessageFaults(int loss, int duplicate, int delayed) {
        lossPercent = loss;
        duplicatePercent = duplicate;
        delayPercent = delayed;
    }

    VirtualLinks links() {
        return links;
    }

    HistoryOracle oracle() {
        return oracle;
    }

    List<LogEvent> events() {
        return events;
    }

    InstanceId instance(int number) {
        return founders.get(number);
    }

    Replica replica(InstanceId instance) {
        return nodes.get(instance).replica.orElseThrow();
    }

    InMemoryDurableStore store(InstanceId instance) {
        return nodes.get(instance).store;
    }

    Map<Long, Long> history(InstanceId instance) {
        return nodes.get(instance).machine.history();
    }

    boolean isUp(InstanceId instance) {
        return nodes.get(instance).replica.isPresent();
    }

    /** Returns the running leader of the highest term. */
    Optional<InstanceId> leader() {
        return running().stream()
                .filter(node -> node.status().role() == ReplicaRole.LEADER)
                .max(Comparator.comparingLong(node -> node.status().term()))
                .map(node -> node.instance);
    }

    Collection<ReplicaStatus> statuses() {
        return running().stream().map(Node::status).toList();
    }

    void crash(InstanceId instance) {
        Node node = nodes.get(instance);
        node.replica.ifPresent(Replica::stop);
        node.replica = Optional.empty();
        node.suspended = false;
    }

    void restart(InstanceId instance) {
        Node node = nodes.get(instance);
        if (node.replica.isEmpty()) {
            node.store.repair();
            start(instance, node.store);
        }
    }

    /** Resumes a replica in place if its store failed; its state machine keeps its state. */
    void resume(InstanceId instance) {
        Node node = nodes.get(instance);
        if (node.replica.isEmpty() && node.suspended) {
            node.store.recover();
            node.suspended = false;
            node.replica = Optional.of(Replica.resume(
                    instance,
                    founders,
                    founders,
                    node.store,
                    node.machine,
                    environment(instance),
                    settings,
                    node.appliedIndex));
        }
    }

    /** Replaces the data folder of a replica by an empty one and restarts it. */
    void loseDisk(InstanceId instance) {
        crash(instance);
        startEmpty(instance);
    }

    /** Starts a replica with an empty store. */
    void startEmpty(InstanceId instance) {
        start(instance, new InMemoryDurableStore(random.nextLong(1, Long.MAX_VALUE)));
    }

    void isolate(InstanceId instance) {
        isolated.add(instance);
    }

    void heal() {
        isolated.clear();
    }

    /** Proposes a new command to one replica. */
    CompletableFuture<byte[]> propose(InstanceId instance) {
        return propose(instance, Long.BYTES);
    }

    /** Proposes a new command of a size in bytes to one replica. */
    CompletableFuture<byte[]> propose(InstanceId instance, int size) {
        CompletableFuture<byte[]> result = new CompletableFuture<>();
        long command = ++commandCount;
        result.thenAccept(encodedIndex -> oracle.acknowledged(HistoryMachine.number(encodedIndex), command));
        byte[] encoded = Arrays.copyOf(HistoryMachine.command(command), size);
        nodes.get(instance).run(replica -> replica.propose(encoded, result));
        return result;
    }

    /** Requests that one replica hand its leadership over to another. */
    CompletableFuture<Boolean> handOver(InstanceId instance) {
        CompletableFuture<Boolean> done = new CompletableFuture<>();
        nodes.get(instance).run(replica -> replica.handOverLeadership(any -> true, done));
        return done;
    }

    /** Requests a confirmed read from one replica and checks the result. */
    CompletableFuture<Long> confirm(InstanceId instance) {
        CompletableFuture<Long> confirmedIndex = new CompletableFuture<>();
        long mustCover = oracle.highestAcknowledged();
        Node node = nodes.get(instance);
        CompletableFuture<Long> checked = confirmedIndex.thenApply(index -> {
            oracle.checkRead(mustCover, index, node.status().commitIndex());
            return index;
        });
        node.run(replica -> replica.confirm(confirmedIndex));
        return checked;
    }

    /** Returns whether the committed members are the current incarnations of all replicas but the given one. */
    boolean allOthersAreMembers(InstanceId except) {
        Optional<MemberSet> members = running().stream()
                .max(Comparator.comparingLong(node -> node.status().commitIndex()))
                .map(Node::committedMembers);
        return members.isPresent()
                && nodes.values().stream()
                        .filter(node -> !node.instance.equals(except))
                        .allMatch(
                                node -> members.get().contains(new ReplicaId(node.instance, node.store.incarnation())));
    }

    boolean runUntil(BooleanSupplier condition, long milliseconds) {
        long end = now + milliseconds * MILLISECOND;
        while (now < end) {
            if (condition.getAsBoolean()) {
                return true;
            }
            run(TICK / MILLISECOND);
        }
        return condition.getAsBoolean();
    }

    void run(long milliseconds) {
        long end = now + milliseconds * MILLISECOND;
        while (true) {
            long tickAt = (now / TICK + 1) * TICK;
            boolean delivers = !deliveries.isEmpty() && deliveries.peek().at() < tickAt;
            long next = delivers ? Math.max(now, deliveries.peek().at()) : tickAt;
            if (next > end) {
                now = end;
                return;
            }
            now = next;
            if (delivers) {
                deliver(deliveries.poll());
            } else {
                running().forEach(node -> node.run(Replica::tick));
            }
        }
    }

    private void deliver(Delivery delivery) {
        if (isolated.contains(delivery.sender()) != isolated.contains(delivery.recipient())
                || (isolated.contains(delivery.sender()) && !delivery.sender().equals(delivery.recipient()))) {
            return;
        }
        Node node = nodes.get(delivery.recipient());
        node.run(replica -> replica.received(delivery.sender(), ConsensusCodec.decode(delivery.payload())));
    }

    private List<Node> running() {
        return nodes.values().stream().filter(node -> node.replica.isPresent()).toList();
    }

    private void start(InstanceId instance, InMemoryDurableStore store) {
        Node node = new Node(instance, store);
        nodes.put(instance, node);
        node.replica = Optional.of(
                new Replica(instance, founders, founders, store, node.machine, environment(instance), settings));
    }

    private ReplicaEnvironment environment(InstanceId instance) {
        return new ReplicaEnvironment(
                () -> CLOCK_ORIGIN + now,
                new Random(random.nextLong()),
                (recipient, message) -> send(instance, recipient, message),
                (event, detail) -> events.add(event));
    }

    private void send(InstanceId sender, InstanceId recipient, AddressedMessage message) {
        if (!nodes.containsKey(recipient)) {
            return;
        }
        byte[] payload = ConsensusCodec.encode(message);
        OptionalLong overLink = links.send(sender, payload.length, now);
        int copies = occursAtRandom(duplicatePercent) ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (occursAtRandom(lossPercent)) {
                continue;
            }
            long delay = occursAtRandom(delayPercent)
                    ? random.nextLong(2_000 * MILLISECOND)
                    : random.nextLong(MILLISECOND / 4, 3 * MILLISECOND);
            deliveries.add(new Delivery(overLink.orElse(now + delay), messageCount++, sender, recipient, payload));
        }
    }

    private boolean occursAtRandom(int percent) {
        return random.nextInt(100) < percent;
    }

    /** A message in flight. */
    private record Delivery(long at, long number, InstanceId sender, InstanceId recipient, byte[] payload) {}

    /** One replica with its store. */
    private final class Node {
        private final InstanceId instance;
        private final InMemoryDurableStore store;
        private final HistoryMachine machine = new HistoryMachine(oracle);
        private Optional<Replica> replica = Optional.empty();
        private boolean suspended;
        private long appliedIndex;

        Node(InstanceId instance, InMemoryDurableStore store) {
            this.instance = instance;
            this.store = store;
        }

        ReplicaStatus status() {
            return replica.orElseThrow().status();
        }

        /** Runs the action and, at random, a flush; a failing store crashes the replica. */
        void run(Consumer<Replica> action) {
            if (replica.isEmpty()) {
                return;
            }
            try {
                action.accept(replica.get());
                if (random.nextBoolean()) {
                    replica.get().flush();
                }
            } catch (BasilrillException exception) {
                if (exception.code() != ErrorCode.DISK_FAILED) {
                    throw exception;
                }
                appliedIndex = status().commitIndex();
                crash(instance);
                suspended = true;
                return;
            }
            ReplicaStatus status = status();
            if (status.role() == ReplicaRole.LEADER) {
                oracle.checkLeader(instance, status.term());
                checkUncommittedMemberChange(status);
            }
        }

        /** Checks that a member change waits for the previous one and for a commit in the leader's own term. */
        private void checkUncommittedMemberChange(ReplicaStatus status) {
            List<LogRecord> records = store.read(1, Integer.MAX_VALUE);
            List<LogRecord> uncommittedChanges = records.stream()
                    .filter(stored -> stored.index() > status.commitIndex() && stored.kind() == RecordKind.MEMBERS)
                    .toList();
            boolean ownTermCommitted = records.stream()
                            .anyMatch(
                                    stored -> stored.index() == status.commitIndex() && stored.term() == status.term())
                    || store.snapshot()
                            .filter(taken ->
                                    taken.lastIndex() == status.commitIndex() && taken.lastTerm() == status.term())
                            .isPresent();
            boolean hasOwnChange = uncommittedChanges.stream().anyMatch(stored -> stored.term() == status.term());
            // A new leader does not yet know which changes of its predecessors are committed, so only its own count.
            if (hasOwnChange) {
                oracle.checkMemberChange(uncommittedChanges.size(), ownTermCommitted);
            }
        }

        MemberSet committedMembers() {
            MemberSet members = store.snapshot()
                    .map(Snapshot::members)
                    .map(MemberSet::decode)
                    .orElse(MemberSet.empty());
            for (LogRecord stored : store.read(1, Integer.MAX_VALUE)) {
                if (stored.kind() == RecordKind.MEMBERS && stored.index() <= status().commitIndex()) {
                    members = MemberSet.decode(stored.payload());
                }
            }
            return members;
        }
    }
}
