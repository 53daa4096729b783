package org.basilrill.protocol.instance;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator.SplittableGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.DispatcherOptions;
import org.basilrill.coordination.admission.FairDispatcher;
import org.basilrill.coordination.admission.SlidingRetryBudget;
import org.basilrill.coordination.budget.ClientBudgets;
import org.basilrill.coordination.budget.OwnerRanking;
import org.basilrill.coordination.control.ControlEndpoint;
import org.basilrill.coordination.control.ControlLogClient;
import org.basilrill.coordination.control.ControlLogServer;
import org.basilrill.coordination.crash.SuspectGuard;
import org.basilrill.coordination.engine.EngineController;
import org.basilrill.coordination.limit.ColdTargets;
import org.basilrill.coordination.membership.Fact.BlockedRequestFact;
import org.basilrill.coordination.membership.Fact.InstanceFact;
import org.basilrill.coordination.membership.FormatLevels;
import org.basilrill.coordination.membership.GossipMembership;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.ReplicaHolders;
import org.basilrill.coordination.membership.TargetPublisher;
import org.basilrill.coordination.placement.DemandReporter;
import org.basilrill.coordination.placement.PlacementController;
import org.basilrill.coordination.placement.PlacementMessenger;
import org.basilrill.coordination.placement.PlacementStatus;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.coordination.stream.StreamVersionGuard;
import org.basilrill.coordination.stream.VersionRetirement;
import org.basilrill.protocol.administration.EvacuationCalls;
import org.basilrill.protocol.caller.InstanceListing;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.dialect.Dialect;
import org.basilrill.protocol.instance.InterfaceOptions.EngineAccess;
import org.basilrill.protocol.peer.GossipCodec;
import org.basilrill.protocol.peer.ThriftBudgetCodec;
import org.basilrill.protocol.peer.ThriftPlacementCodec;
import org.basilrill.protocol.relay.TargetAccess;
import org.basilrill.state.target.AnnouncementReceiver;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetChangeListener.Change;
import org.basilrill.state.target.TargetChangeListener.Kind;
import org.basilrill.state.target.TargetDirectory;
import org.basilrill.state.target.TargetRegistry;
import org.basilrill.state.target.TargetRegistry.Incarnations;

/**
 * One instance, assembled from an environment. Its entry points are {@link #handlers} (messages of other instances),
 * {@link #announcements} (announcements of targets), {@link #coordinator} (requests of callers), {@link #control}
 * (commands of operators) and the environment's scheduler (timers). Starts no thread, opens no socket. Thread safe.
 */
public final class Instance {
    private final InstanceEnvironment environment;
    private final GossipMembership membership;
    private final TargetRegistry targets;
    private final TargetPublisher targetPublisher;
    private final InstancePaths paths;
    private final ControlEndpoint controlEndpoint;
    private final ControlLogClient control;
    private final Optional<ControlLogServer> controlServer;
    private final ClientBudgets budgets;
    private final PlacementMessenger placementMessenger;
    private final DemandReporter demandReporter;
    private final Optional<PlacementController> placement;
    private final Optional<EngineController> engineControl;
    private final PermitAssembly permits;
    private final FairDispatcher dispatcher;
    private final BlockedRequests blockedRequests;
    private final SuspectGuard suspects;
    private final StreamVersionGuard streamVersions;
    private final RequestCoordinator coordinator;
    private final EvacuationCalls evacuations;
    private final InstanceListing listing;
    private final ReplicaHolders replicaHolders;
    private final InstanceFactPublisher factPublisher;
    private final CurrentStatusLog currentStatusLog;
    private volatile boolean draining;
    /** Updated once per gossip period: counting the members for each dispatch costs more than the dispatch itself. */
    private volatile int usableInstances = 1;

    /** Assembles the instance; it is inactive until {@link #start}. */
    public Instance(InstanceEnvironment environment) {
        this.environment = environment;
        this.membership = createMembership();
        this.replicaHolders = new ReplicaHolders(membership, environment.replicas());
        this.factPublisher = new InstanceFactPublisher(membership);
        this.currentStatusLog = new CurrentStatusLog(environment.self());
        this.targets = new TargetRegistry(
                environment.clock(),
                environment.interfaces().dialect().isPresent() ? Incarnations.START_TIMES : Incarnations.OF_ONE_TARGET);
        this.targetPublisher = new TargetPublisher(membership, targets, environment.clock());
        SplittableGenerator pathsRandom = splitRandom();
        this.controlEndpoint = new ControlEndpoint(environment.self(), environment.channel(), environment.scheduler());
        FormatLevels formatLevels =
                new FormatLevels(membership, environment.replica().isPresent(), environment.clock());
        ControlAssembly controlAssembly = new ControlAssembly(environment, controlEndpoint, formatLevels);
        this.control = controlAssembly.client(splitRandom());
        this.controlServer = environment.replica().map(local -> controlAssembly.server(local, splitRandom()));
        this.budgets = createBudgets();
        this.placementMessenger = new PlacementMessenger(
                environment.self(), environment.channel(), new ThriftPlacementCodec(), environment.scheduler());
        this.demandReporter = new DemandReporter(
                environment.wallClockMillis().getAsLong(),
                replicaHolders::all,
                placementMessenger,
                environment.clock(),
                environment.scheduler());
        this.permits =
                new PermitAssembly(environment, control, membership, targets, this::permitsChanged, splitRandom());
        this.paths = new InstancePaths(environment, membership, targets, permits, this::publishOwnFacts, pathsRandom);
        PlacementAssembly placementAssembly = new PlacementAssembly(
                environment,
                control,
                targets,
                targetPublisher,
                placementMessenger,
                environment.replica().map(permits::issuer),
                paths.restrictions());
        Optional<EngineAccess> engines = environment.interfaces().engines();
        this.placement =
                engines.isPresent() ? Optional.empty() : environment.replica().map(placementAssembly::placement);
        this.engineControl = engines.flatMap(
                access -> environment.replica().map(local -> placementAssembly.engineControl(access, local)));
        this.dispatcher = createDispatcher();
        this.listing = new InstanceListing(
                membership,
                environment.interfaces().regions(),
                environment.self(),
                splitRandom(),
                environment.interfaces().listingValidity());
        this.blockedRequests = new BlockedRequests(
                environment.clock(), fingerprint -> membership.publishUrgently(new BlockedRequestFact(fingerprint)));
        this.suspects = new SuspectGuard(control, environment.clock(), environment.scheduler(), targets);
        this.streamVersions = new StreamVersionGuard(control, environment.clock(), environment.scheduler(), targets);
        this.coordinator = createCoordinator();
        this.evacuations = InstanceEvacuations.enforce(
                environment,
                control,
                membership,
                targets,
                paths.restrictions(),
                dispatcher,
                permits.coldTargets(),
                splitRandom());
        dispatcher.setAbsenceListener(
                (target, model) -> targets.contentChanged(target.id(), target.incarnation(), model, false));
        targets.addListener(this::targetChanged);
        membership.onFact(blockedRequests::factReceived);
        registerPeriodicTasks(formatLevels);
    }

    private void registerPeriodicTasks(FormatLevels formatLevels) {
        membership.onPeriod(formatLevels::publish);
        membership.onPeriod(this::publishOwnFacts);
        membership.onPeriod(new VersionRetirement(
                control,
                targets::targets,
                environment.replica().map(InstanceEnvironment.LocalReplica::log),
                environment.clock())::check);
    }

    /** Starts all components; the environment must already deliver messages to {@link #handlers}. */
    public void start() {
        controlServer.ifPresent(ControlLogServer::start);
        control.start();
        budgets.start();
        demandReporter.start();
        placement.ifPresent(PlacementController::start);
        engineControl.ifPresent(EngineController::start);
        paths.start();
        publishOwnFacts();
        membership.start();
    }

    /** Replaces the seeds: the instances to contact while no other instance is known. */
    public void updateSeeds(List<InstanceId> seeds) {
        membership.updateSeeds(seeds);
        replicaHolders.updateSeeds(seeds);
    }

    /** Publishes that this instance accepts no new requests, and hands its token buckets over to other instances. */
    public CompletableFuture<Void> beginDrain() {
        draining = true;
        publishOwnFacts();
        return budgets.handOver();
    }

    /** Closes the session with the control log; called once no request is running. Never fails. */
    public CompletableFuture<Void> releaseSession() {
        return control.releaseSession();
    }

    /** Stops all components. A session that was not released expires. */
    public void stop() {
        membership.stop();
        paths.stop();
        placement.ifPresent(PlacementController::stop);
        engineControl.ifPresent(EngineController::stop);
        control.stop();
        controlServer.ifPresent(ControlLogServer::stop);
    }

    /** Returns the handlers of messages from other instances, by subject. */
    public Map<PeerSubject, PeerHandler> handlers() {
        Map<PeerSubject, PeerHandler> handlers = new EnumMap<>(PeerSubject.class);
        handlers.put(
                PeerSubject.MEMBERSHIP, (sender, payload) -> membership.received(sender, GossipCodec.decode(payload)));
        handlers.put(PeerSubject.CONTROL, controlEndpoint);
        handlers.put(PeerSubject.BUDGET, budgets);
        handlers.put(PeerSubject.PLACEMENT, placementMessenger);
        handlers.put(PeerSubject.TARGET_LIMIT, permits.messenger());
        return handlers;
    }

    /** Returns the coordinator of callers' requests. */
    public RequestCoordinator coordinator() {
        return coordinator;
    }

    /** Returns the receiver of target announcements. */
    public AnnouncementReceiver announcements() {
        return permits.coldTargets().reporting(targetPublisher);
    }

    /** Returns which targets are cold; is to be notified of the end of an evacuation. */
    public ColdTargets coldTargets() {
        return permits.coldTargets();
    }

    /** Returns the client of the control log. */
    public ControlLogClient control() {
        return control;
    }

    /** Returns the instances that this instance knows. */
    public Membership membership() {
        return membership;
    }

    /** Returns the targets that this instance knows. */
    public TargetDirectory targets() {
        return targets;
    }

    /** Returns the token buckets of client accounts. */
    public ClientBudgets budgets() {
        return budgets;
    }

    /** Returns the status of model placement, if this instance hosts a replica of the control log. */
    public Optional<PlacementStatus> placement() {
        return placement.map(PlacementController::status);
    }

    /** Records what a target states in its response to a request of this instance's own, such as a report request. */
    public void observeTargetResponse(TargetAnnouncement target, ResponseHead response) {
        paths.observe(target, response);
    }

    /** Returns how this instance reaches targets by way of others, if it does. */
    public Optional<TargetAccess> targetAccess() {
        return paths.access();
    }

    /** Returns the operators' calls that begin and end evacuations. */
    public EvacuationCalls evacuations() {
        return evacuations;
    }

    /** Returns the list of instances for callers. */
    public InstanceListing listing() {
        return listing;
    }

    /** Returns whether the instance accepts new requests. */
    public boolean isReady() {
        return !draining && control.isCurrent();
    }

    private GossipMembership createMembership() {
        return new GossipMembership(
                environment.self(),
                environment.replicas(),
                environment.wallClockMillis().getAsLong(),
                environment.clock(),
                environment.scheduler(),
                splitRandom(),
                new MembershipChannel(environment.channel()));
    }

    private ClientBudgets createBudgets() {
        return new ClientBudgets(
                environment.self(),
                environment.clock(),
                environment.scheduler(),
                splitRandom(),
                environment.channel(),
                control,
                new ThriftBudgetCodec(),
                environment.interfaces().lossTolerance(),
                new OwnerRanking(replicaHolders::contains));
    }

    private void permitsChanged(TargetId target) {
        targets.target(target).ifPresent(dispatcher::targetChanged);
    }

    private FairDispatcher createDispatcher() {
        TargetRouter router = new RoutingAssembly(environment, control)
                .router(splitRandom(), () -> usableInstances, permits.permits(), paths.restrictions());
        return new FairDispatcher(
                targets,
                router,
                environment.clock(),
                environment.scheduler(),
                account -> control.view().rules().weightOf(account),
                demandReporter,
                demandReporter,
                DispatcherOptions.defaults(),
                permits.permits());
    }

    private RequestCoordinator createCoordinator() {
        return new RequestCoordinator(new RequestServices(
                environment.self(),
                control,
                budgets,
                dispatcher,
                new SlidingRetryBudget(
                        environment.clock(),
                        requests -> environment.interfaces().retries().allowance(requests, usableInstances)),
                paths.connector(),
                environment.clock(),
                environment.scheduler(),
                environment.wallClockMillis(),
                splitRandom(),
                new RequestTracing(environment.tracer()),
                environment.metrics(),
                environment.limits(),
                listing::otherAddresses,
                blockedRequests,
                suspects,
                streamVersions,
                new RequestIdCheck(),
                permits.permits(),
                environment.interfaces().regions(),
                environment.interfaces().dialect().map(Dialect::callers)));
    }

    private void targetChanged(Change change) {
        if (change.kind() == Kind.EXPIRED) {
            dispatcher.targetExpired(change.announcement().id());
        } else {
            dispatcher.targetChanged(change.announcement());
            streamVersions.targetAnnounced(change.announcement());
            suspects.targetAnnounced(change.announcement());
        }
    }

    private void publishOwnFacts() {
        currentStatusLog.observe(control.isCurrent());
        factPublisher.publish(new InstanceFact(
                environment.dataCentre(),
                environment.callerAddress(),
                environment.peerAddress(),
                draining,
                control.isCurrent(),
                control.view().rules().revision(),
                environment.replica().isPresent(),
                paths.relay(),
                paths.isCutOff(),
                environment.interfaces().forwardsMessages()));
        List<InstanceId> reachable = replicaHolders.reachable();
        control.updateAdvertisedReplicas(reachable);
        environment.replica().ifPresent(local -> local.replicaContacts().accept(reachable));
        factPublisher.publishLoad(coordinator.requestsInFlight() + paths.exchangesForOthers());
        usableInstances = (int) membership.members().stream()
                .filter(member -> !member.suspected() && !member.draining())
                .count();
    }

    private void updateReplicaContacts() {
        List<InstanceId> reachable = replicaHolders.reachable();
        control.updateAdvertisedReplicas(reachable);
        environment.replica().ifPresent(local -> local.replicaContacts().accept(reachable));
    }

    private SplittableGenerator splitRandom() {
        return environment.random().split();
    }
}
