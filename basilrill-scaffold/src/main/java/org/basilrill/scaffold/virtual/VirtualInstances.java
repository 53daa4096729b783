package org.basilrill.scaffold.virtual;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import io.opentelemetry.api.OpenTelemetry;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import java.util.function.Predicate;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.consensus.ConsensusSettings;
import org.basilrill.coordination.consensus.ReplicaEnvironment;
import org.basilrill.coordination.consensus.ReplicaId;
import org.basilrill.coordination.consensus.ReplicaStatus;
import org.basilrill.coordination.membership.PeerForwarding;
import org.basilrill.coordination.placement.TargetOrderClient;
import org.basilrill.protocol.administration.AdministrationHandler;
import org.basilrill.protocol.administration.AdministrationViews;
import org.basilrill.protocol.administration.PlacementView;
import org.basilrill.protocol.administration.RulesReader;
import org.basilrill.protocol.instance.Instance;
import org.basilrill.protocol.instance.InstanceEnvironment;
import org.basilrill.protocol.instance.InstanceEnvironment.LocalReplica;
import org.basilrill.protocol.instance.InterfaceOptions;
import org.basilrill.protocol.instance.RequestLimits;
import org.basilrill.protocol.peer.ConsensusCodec;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.RegionTable;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Simulates several complete instances on one virtual clock; the first ones run replicas of the control log. Not thread
 * safe.
 */
public final class VirtualInstances {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration ADMINISTRATION_DEADLINE = Duration.ofSeconds(5);
    private static final long NANOS_PER_MILLISECOND = 1_000_000;
    private static final long WALL_CLOCK_START_MILLIS = 1_700_000_000_000L;
    /** Snapshots are small and frequent enough that short histories cover them. */
    private static final ConsensusSettings SETTINGS = new ConsensusSettings(
            Duration.ofMillis(50),
            Duration.ofMillis(250),
            Duration.ofMillis(500),
            Duration.ofMillis(500),
            Duration.ofSeconds(5),
            Duration.ofSeconds(3),
            40,
            1 << 20,
            1024,
            64 * 1024);

    private final VirtualTime time;
    private final Random random;
    private final VirtualNetwork network;
    private final VirtualTargets targets;
    private final KeyHash firstOperatorKey;
    private final InterfaceOptions options;
    private final List<InstanceId> instances = new ArrayList<>();
    private final List<InstanceId> replicas;
    private final Map<InstanceId, VirtualStore> stores = new TreeMap<>();
    private final Map<InstanceId, Process> processes = new TreeMap<>();
    private final VirtualRelays relays = new VirtualRelays(this::relayOf);
    private Function<InstanceId, String> dataCentres = id -> "north";
    private RegionTable regions = RegionTable.EMPTY;
    private boolean forwardsMessages;

    public VirtualInstances(
            int count,
            int replicaCount,
            VirtualTime time,
            Random random,
            VirtualNetwork network,
            VirtualTargets targets,
            KeyHash firstOperatorKey) {
        this(count, replicaCount, time, random, network, targets, firstOperatorKey, InterfaceOptions.defaults());
    }

    public VirtualInstances(
            int count,
            int replicaCount,
            VirtualTime time,
            Random random,
            VirtualNetwork network,
            VirtualTargets targets,
            KeyHash firstOperatorKey,
            InterfaceOptions options) {
        this.options = options;
        this.time = time;
        this.random = random;
        this.network = network;
        this.targets = targets;
        this.firstOperatorKey = firstOperatorKey;
        for (int number = 1; number <= count; number++) {
            instances.add(new InstanceId("instance-" + number));
        }
        replicas = List.copyOf(instances.subList(0, replicaCount));
        replicas.forEach(this::createStore);
    }

    /** Places the instances in data centres, and these in regions; called before {@link #start}. */
    public void place(Function<InstanceId, String> dataCentreOf, RegionTable table) {
        dataCentres = dataCentreOf;
        regions = table;
    }

    /** Lets the instances pass messages on for others; called before {@link #start}. */
    public void forwardMessages() {
        forwardsMessages = true;
    }

    /** Returns the number of messages that running instances have passed on for others. */
    public long messagesPassedOn() {
        return processes.values().stream()
                .mapToLong(process -> process.peer.passedOn())
                .sum();
    }

    /** Returns the data centre of an instance. */
    public String dataCentre(InstanceId id) {
        return dataCentres.apply(id);
    }

    /** Starts all instances. */
    public void start() {
        instances.forEach(this::restart);
    }

    public List<InstanceId> instances() {
        return List.copyOf(instances);
    }

    public List<InstanceId> replicas() {
        return replicas;
    }

    /** Returns the instance if its process is running. */
    public Optional<Instance> running(InstanceId id) {
        return Optional.ofNullable(processes.get(id)).map(process -> process.instance);
    }

    /** Returns the current time on the clock of a running instance. */
    public long nanos(InstanceId id) {
        return processes.get(id).clock.nanos();
    }

    /** Returns the administration handler of a running instance, wired as in the daemon. */
    public AdministrationHandler administration(InstanceId id) {
        Instance instance = processes.get(id).instance;
        return new AdministrationHandler(
                instance.control(),
                () -> instance.control()
                        .readRules(ADMINISTRATION_DEADLINE)
                        .thenApply(source -> new RulesReader.Revision(source.revision(), source.text())),
                new AdministrationViews(
                        id,
                        instance.control(),
                        instance.membership(),
                        instance.targets(),
                        () -> 0,
                        () -> instance.budgets().snapshots(),
                        Optional::empty,
                        instance.targetAccess()),
                () -> instance.placement().map(PlacementView::describe).orElseGet(PlacementView::withoutReplica),
                instance.evacuations(),
                () -> {},
                Optional.of(firstOperatorKey),
                ADMINISTRATION_DEADLINE);
    }

    /** Returns the state machines of the running replicas. */
    public List<ControlStateMachine> stateMachines() {
        return replicas.stream()
                .filter(processes::containsKey)
                .map(id -> processes.get(id).machine)
                .toList();
    }

    /** Returns the running replica that leads the control log, the one of the highest term if there are several. */
    public Optional<InstanceId> leader() {
        return replicas.stream()
                .filter(id -> processes.containsKey(id)
                        && processes.get(id).replica.orElseThrow().isLeader())
                .max(Comparator.comparingLong(
                        id -> processes.get(id).replica.orElseThrow().term()));
    }

    /** Ends the process of an instance; only its data folder survives. */
    public void crash(InstanceId id) {
        Process process = processes.remove(id);
        if (process != null) {
            process.alive = false;
        }
    }

    /** Starts a process of an instance, unless one is running. */
    public void restart(InstanceId id) {
        if (!processes.containsKey(id)) {
            Process process = new Process(id);
            processes.put(id, process);
            process.start();
        }
    }

    /** Replaces the data folder of a stopped replica by an empty one. */
    public void wipe(InstanceId id) {
        createStore(id);
    }

    /** Returns whether all replicas are running and are members of the log with their current incarnations. */
    public boolean allReplicasAreMembers() {
        return replicas.stream()
                .allMatch(id -> processes.containsKey(id)
                        && processes.get(id).replica.orElseThrow().status().members().voters().stream()
                                        .filter(this::hasCurrentIncarnation)
                                        .count()
                                == replicas.size());
    }

    /** Returns whether the running replicas that match the predicate are a majority of the members of the log. */
    public boolean hasMajority(Predicate<InstanceId> usable) {
        return replicas.stream()
                .filter(usable)
                .flatMap(id -> Optional.ofNullable(processes.get(id)).stream())
                .map(process -> process.replica.orElseThrow().status())
                .max(Comparator.comparingLong(ReplicaStatus::commitIndex))
                .map(ReplicaStatus::members)
                .filter(members -> members.isMajority(members.voters().stream()
                        .filter(voter -> usable.test(voter.instance())
                                && processes.containsKey(voter.instance())
                                && hasCurrentIncarnation(voter))
                        .toList()))
                .isPresent();
    }

    private Optional<VirtualRelays.Relay> relayOf(InstanceId id) {
        return Optional.ofNullable(processes.get(id))
                .map(process -> new VirtualRelays.Relay(
                        process.instance.targetAccess().orElseThrow().service(), () -> process.alive));
    }

    private boolean hasCurrentIncarnation(ReplicaId voter) {
        return stores.get(voter.instance()).incarnation() == voter.incarnation();
    }

    private void createStore(InstanceId id) {
        stores.put(id, new VirtualStore(random.nextLong(1, Long.MAX_VALUE)));
    }

    /** A running process of an instance. */
    private final class Process {
        private final InstanceId id;
        private final ControlStateMachine machine = new ControlStateMachine();
        private final Map<PeerSubject, PeerHandler> handlers = new EnumMap<>(PeerSubject.class);
        private final Scheduler scheduler;
        // Each process has its own clock origin, so that a comparison of times of two processes causes a visible fault.
        private final MonotonicClock clock = time.clockWithOrigin(random.nextLong());
        private final VirtualPeer peer;
        private final PeerChannel channel = this::send;
        private final Optional<VirtualReplica> replica;
        private final Instance instance;
        private boolean alive = true;

        Process(InstanceId id) {
            this.id = id;
            this.peer = new VirtualPeer(
                    id,
                    network,
                    other -> Optional.ofNullable(processes.get(other)).map(process -> process.peer),
                    this::receive);
            this.scheduler = time.schedulerOf(() -> alive);
            this.replica = Optional.ofNullable(stores.get(id)).map(this::createReplica);
            this.instance = new Instance(environment());
            if (forwardsMessages) {
                peer.forwardBy(new PeerForwarding(
                        id, dataCentres.apply(id), instance.membership(), clock, new SplittableRandom(id.hashCode())));
            }
        }

        void start() {
            handlers.putAll(instance.handlers());
            replica.ifPresent(log -> handlers.put(PeerSubject.CONSENSUS, log));
            instance.start();
        }

        private void send(InstanceId recipient, PeerSubject subject, byte[] payload) {
            if (recipient.equals(id)) {
                scheduler.schedule(Duration.ZERO, () -> receive(id, subject, payload));
                return;
            }
            peer.send(recipient, subject, payload);
        }

        private void receive(InstanceId sender, PeerSubject subject, byte[] payload) {
            PeerHandler handler = handlers.get(subject);
            try {
                Optional.ofNullable(handler).ifPresent(known -> known.received(sender, payload));
            } catch (BasilrillException exception) {
                // As in the transport, a response to a request of an earlier process of this instance is rejected.
                LOGGER.atFine().log("%s: %s", LogEvent.MESSAGE_REJECTED, exception.getMessage());
            }
        }

        private VirtualReplica createReplica(VirtualStore store) {
            ReplicaEnvironment environment = new ReplicaEnvironment(
                    clock,
                    new Random(random.nextLong()),
                    (recipient, message) ->
                            channel.send(recipient, PeerSubject.CONSENSUS, ConsensusCodec.encode(message)),
                    (event, detail) -> {});
            return new VirtualReplica(id, replicas, store, machine, environment, SETTINGS, scheduler);
        }

        private InstanceEnvironment environment() {
            return new InstanceEnvironment(
                    id,
                    dataCentres.apply(id),
                    "127.0.0.1:4001",
                    "127.0.0.1:5001",
                    replicas,
                    clock,
                    scheduler,
                    new SplittableRandom(random.nextLong()),
                    channel,
                    targets.connector(id, () -> alive, scheduler),
                    new NoTargetOrders(),
                    () -> WALL_CLOCK_START_MILLIS + time.nanos() / NANOS_PER_MILLISECOND,
                    OpenTelemetry.noop().getTracer("simulation"),
                    new MetricRegistry(),
                    RequestLimits.defaults(),
                    Optional.of(firstOperatorKey),
                    replica.map(log -> new LocalReplica(log, machine, () -> membersOf(log), holders -> {})),
                    options.withRegions(regions).withForwarding(forwardsMessages),
                    Optional.of(relays.port(id, () -> alive, scheduler)));
        }

        private List<InstanceId> membersOf(VirtualReplica log) {
            return log.status().members().voters().stream()
                    .map(ReplicaId::instance)
                    .toList();
        }
    }

    /** Sends no target orders, as no placement runs. */
    private static final class NoTargetOrders implements TargetOrderClient {
        @Override
        public CompletableFuture<Optional<OrderOutcome>> send(TargetAnnouncement target, Order order) {
            return CompletableFuture.completedFuture(Optional.empty());
        }

        @Override
        public CompletableFuture<Optional<OrderOutcome>> outcome(TargetAnnouncement target, String orderId) {
            return CompletableFuture.completedFuture(Optional.empty());
        }
    }
}
