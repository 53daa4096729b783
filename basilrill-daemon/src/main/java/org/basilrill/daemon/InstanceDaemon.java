package org.basilrill.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import java.util.ServiceLoader;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicBoolean;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.PeerSubject;
import org.basilrill.coordination.budget.LossTolerance;
import org.basilrill.coordination.consensus.ReplicaId;
import org.basilrill.coordination.engine.EngineClient;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.coordination.membership.PeerForwarding;
import org.basilrill.coordination.membership.RelayAccess;
import org.basilrill.daemon.settings.Settings;
import org.basilrill.protocol.administration.AdministrationHandler;
import org.basilrill.protocol.administration.AdministrationViews;
import org.basilrill.protocol.administration.PlacementView;
import org.basilrill.protocol.administration.RulesReader;
import org.basilrill.protocol.caller.LocalRoutes;
import org.basilrill.protocol.dialect.Dialect;
import org.basilrill.protocol.dialect.DialectProvider;
import org.basilrill.protocol.dialect.DialectProvider.DialectOptions;
import org.basilrill.protocol.dialect.InstanceAccess;
import org.basilrill.protocol.dialect.InstanceAccess.RulesStore;
import org.basilrill.protocol.instance.Instance;
import org.basilrill.protocol.instance.InstanceEnvironment;
import org.basilrill.protocol.instance.InstanceEnvironment.LocalReplica;
import org.basilrill.protocol.instance.InterfaceOptions;
import org.basilrill.protocol.instance.InterfaceOptions.EngineAccess;
import org.basilrill.protocol.instance.RequestLimits;
import org.basilrill.protocol.observation.MetricsRoute;
import org.basilrill.protocol.relay.TargetAccess;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.transport.http.GatewayRoutes;
import org.basilrill.transport.http.GatewaySettings;
import org.basilrill.transport.http.HttpEngineClient;
import org.basilrill.transport.http.HttpGateway;
import org.basilrill.transport.http.HttpTargetOrderClient;
import org.basilrill.transport.http.TargetHttpClient;
import org.basilrill.transport.observation.Tracing;
import org.basilrill.transport.peer.PeerAddress;
import org.basilrill.transport.peer.PeerTransport;
import org.basilrill.transport.threads.ControlReplica;
import org.basilrill.transport.threads.FoundingPermit;
import org.basilrill.transport.threads.SystemClock;

/** Runs one instance on the sockets, threads and disk of this machine. Thread safe. */
public final class InstanceDaemon {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration ADMINISTRATION_DEADLINE = Duration.ofSeconds(5);
    private static final int RELAY_TOKEN_BYTES = 16;
    private static final Duration TARGET_ORDER_TIMEOUT = Duration.ofSeconds(2);
    /**
     * Maximum time that a stop spends on one handover step. The handover of buckets is optional: without it, the next
     * owner waits as it does after the loss of an instance.
     */
    private static final Duration HANDOVER_TIMEOUT = Duration.ofSeconds(2);
    /**
     * Time before the end of the listing in which new requests are refused. A stop listens for as long as callers may
     * use a list with this instance; the last requests would have the least time to end, and the signal may have been
     * sent some time before it was handled.
     */
    private static final Duration LATE_REQUEST_MARGIN = Duration.ofMillis(500);

    private final Settings settings;
    private final DaemonThreads threads = new DaemonThreads();
    private final SystemClock clock = new SystemClock();
    private final PeerTransport peers;
    private final TargetHttpClient targetClient;
    private final Optional<Dialect> dialect;
    private final Optional<ControlReplica> replica;
    private final Instance instance;
    private final HttpGateway gateway;
    private final AtomicBoolean stopping = new AtomicBoolean();
    private final CountDownLatch stopped = new CountDownLatch(1);

    /**
     * Creates the parts of the daemon and starts its replica of the control log, if it has one.
     *
     * @throws org.basilrill.api.BasilrillException with {@code DISK_FAILED} if the data folder cannot be used
     */
    public InstanceDaemon(Settings settings) {
        this.settings = settings;
        MetricRegistry metrics = new MetricRegistry();
        this.peers = new PeerTransport(
                settings.instance(), this::addressOf, threads.peers(), clock, threads.scheduler(), metrics);
        RequestLimits limits = requestLimits();
        this.targetClient = new TargetHttpClient(
                TargetHttpClient.Settings.defaults(limits.windowBytes()), clock, threads.scheduler());
        metrics.registerGauge("target_responses.held_bytes", targetClient::heldResponseBytes);
        this.dialect = settings.interfaces().dialect().map(this::createDialect);
        InterfaceOptions interfaceOptions = new InterfaceOptions(
                dialect,
                settings.interfaces().listingValidity(),
                new InterfaceOptions.RetryLimits(
                        settings.interfaces().retryShare(),
                        settings.interfaces().retrySlack()),
                dialect.map(this::engineAccess),
                settings.interfaces().regions(),
                settings.interfaces().peerForwarding(),
                settings.interfaces().predictiveRouting(),
                new LossTolerance(settings.interfaces().lossToleranceTokens()),
                settings.interfaces().coldLimits(),
                settings.interfaces().recoveryPacing(),
                settings.interfaces().rulesInForceWithin());
        ControlStateMachine stateMachine = new ControlStateMachine(interfaceOptions.rulesFormat());
        this.replica = settings.dataFolder().map(folder -> startReplica(folder, stateMachine));
        replica.ifPresent(controlReplica -> registerGauges(metrics, controlReplica));
        this.instance = new Instance(environment(stateMachine, limits, metrics, interfaceOptions));
        if (settings.interfaces().peerForwarding()) {
            forwardMessages(metrics);
        }
        this.gateway = createGateway(metrics);
    }

    private void forwardMessages(MetricRegistry metrics) {
        PeerForwarding forwarding = new PeerForwarding(
                settings.instance(), settings.dataCentre(), instance.membership(), clock, new SplittableRandom());
        peers.forwardBy(forwarding);
        metrics.registerGauge("peer.forwarding.links_down", forwarding::linksDown);
    }

    /**
     * Opens the ports for callers and peers, and starts the instance.
     *
     * @throws org.basilrill.api.BasilrillException with {@code ADDRESS_IN_USE} if an address cannot be bound
     */
    public void start() {
        instance.handlers().forEach(peers::handle);
        replica.ifPresent(controlReplica -> peers.handle(PeerSubject.CONSENSUS, controlReplica));
        gateway.start();
        peers.start(settings.peerListenAddress(), settings.peerAddress());
        instance.start();
        LOGGER.atInfo().log("%s: %s", LogEvent.INSTANCE_STARTED, settings.instance());
    }

    /** Applies changed settings to the running instance. Only the seeds change; all other settings need a restart. */
    public void reload(Settings changedSettings) {
        List<InstanceId> seeds = List.copyOf(changedSettings.replicas().keySet());
        instance.updateSeeds(seeds);
        replica.ifPresent(controlReplica -> controlReplica.addContacts(seeds));
        LOGGER.atInfo().log("%s: seeds %s", LogEvent.SETTINGS_RELOADED, seeds);
    }

    /** Starts a graceful stop on a separate thread; running requests have until the drain limit to finish. */
    public void beginStop() {
        if (stopping.compareAndSet(false, true)) {
            new Thread(this::stop, "stop").start();
        }
    }

    /** Blocks until a stop has completed. */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    private void stop() {
        LOGGER.atInfo().log("%s: %s", LogEvent.INSTANCE_DRAINING, settings.instance());
        // The buckets are handed over before the leadership, because their handover is committed by a leader.
        CompletableFuture<Boolean> handedOver = instance.beginDrain()
                .completeOnTimeout(null, HANDOVER_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .thenCompose(buckets -> handOverLeadership());
        gateway.closeAfterResponses();
        Duration listed = settings.interfaces().staleListingWait();
        Duration refused = listed.compareTo(LATE_REQUEST_MARGIN) < 0 ? listed : LATE_REQUEST_MARGIN;
        pause(listed.minus(refused));
        instance.coordinator().drain();
        pause(refused);
        CompletableFuture<HttpGateway.StopReport> gatewayStopped = gateway.stop(settings.drainLimit());
        await(gatewayStopped, settings.drainLimit().plusSeconds(1));
        await(handedOver, HANDOVER_TIMEOUT);
        await(instance.releaseSession(), HANDOVER_TIMEOUT);
        // Another replica that stops may have handed its leadership to this one during the drain.
        await(handOverLeadership(), HANDOVER_TIMEOUT);
        instance.stop();
        replica.ifPresent(ControlReplica::close);
        peers.close();
        targetClient.close();
        threads.close();
        LOGGER.atInfo().log("%s: %s", LogEvent.INSTANCE_STOPPED, settings.instance());
        stopped.countDown();
    }

    private CompletableFuture<Boolean> handOverLeadership() {
        return replica.map(controlReplica -> controlReplica.handOverLeadership(any -> true))
                .orElseGet(() -> CompletableFuture.completedFuture(true));
    }

    private static void pause(Duration time) {
        await(
                new CompletableFuture<Void>().completeOnTimeout(null, time.toMillis(), TimeUnit.MILLISECONDS),
                time.plusSeconds(1));
    }

    private static void await(CompletableFuture<?> future, Duration limit) {
        try {
            future.get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException exception) {
            LOGGER.atWarning().withCause(exception).log("a step of the graceful stop failed or timed out");
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private InstanceEnvironment environment(
            ControlStateMachine stateMachine,
            RequestLimits limits,
            MetricRegistry metrics,
            InterfaceOptions interfaceOptions) {
        return new InstanceEnvironment(
                settings.instance(),
                settings.dataCentre(),
                hostAndPort(settings.callerAddress()),
                hostAndPort(settings.peerAddress()),
                List.copyOf(settings.replicas().keySet()),
                clock,
                threads.scheduler(),
                new SplittableRandom(),
                peers,
                targetClient,
                new HttpTargetOrderClient(targetClient, threads.scheduler(), TARGET_ORDER_TIMEOUT),
                System::currentTimeMillis,
                Tracing.tracer(),
                metrics,
                limits,
                settings.operatorKeyHash().map(KeyHash::new),
                replica.map(controlReplica -> new LocalReplica(
                        controlReplica, stateMachine, () -> membersOf(controlReplica), controlReplica::addContacts)),
                interfaceOptions,
                settings.interfaces().relayAddress().map(this::relayPort));
    }

    private TargetAccess.Port relayPort(InetSocketAddress address) {
        byte[] token = new byte[RELAY_TOKEN_BYTES];
        new SecureRandom().nextBytes(token);
        RelayAccess access =
                new RelayAccess(hostAndPort(address), HexFormat.of().formatHex(token));
        return new TargetAccess.Port(access, targetClient);
    }

    private HttpGateway createGateway(MetricRegistry metrics) {
        AdministrationViews views = new AdministrationViews(
                settings.instance(),
                instance.control(),
                instance.membership(),
                instance.targets(),
                instance.coordinator()::requestsInFlight,
                instance.budgets()::snapshots,
                () -> replica.map(ControlReplica::status),
                instance.targetAccess());
        AdministrationHandler administration = new AdministrationHandler(
                instance.control(),
                this::rulesText,
                views,
                () -> instance.placement().map(PlacementView::describe).orElseGet(PlacementView::withoutReplica),
                instance.evacuations(),
                this::beginStop,
                settings.operatorKeyHash().map(KeyHash::new),
                ADMINISTRATION_DEADLINE);
        GatewayRoutes routes = new GatewayRoutes(
                instance.listing(),
                instance.announcements()::receiveAnnouncement,
                settings.announcementKeyHash().map(KeyHash::new),
                administration,
                metrics,
                instance::isReady);
        LocalRoutes routesWithMetrics = new MetricsRoute(
                metrics,
                dialect.map(configured -> configured.routes(instanceAccess())).orElse(routes));
        return new HttpGateway(
                GatewaySettings.defaults(settings.callerAddress())
                        .withOwnAddresses(
                                settings.interfaces().ownAddresses(),
                                settings.interfaces().metricsAddress())
                        .withRelayAddress(settings.interfaces().relayAddress()),
                instance.coordinator(),
                routesWithMetrics,
                instance.targetAccess().map(TargetAccess::service),
                clock,
                threads.scheduler());
    }

    private Dialect createDialect(String name) {
        DialectOptions options = new DialectOptions(
                settings.interfaces().announcementValidity(),
                settings.interfaces().listingValidity(),
                settings.interfaces().listedInstances());
        return ServiceLoader.load(DialectProvider.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(provider -> provider.name().equals(name))
                .findFirst()
                .map(provider -> provider.create(options))
                .orElseThrow(() -> new BasilrillException(
                        ErrorCode.SETTINGS_INVALID, "dialect: no dialect named \"" + name + "\" is on the class path"));
    }

    private EngineAccess engineAccess(Dialect configured) {
        EngineClient engineClient = new HttpEngineClient(
                targetClient,
                threads.scheduler(),
                configured.engines(),
                settings.instance(),
                TARGET_ORDER_TIMEOUT,
                (engine, response) -> instance.observeTargetResponse(engine, response));
        return new EngineAccess(engineClient, settings.interfaces().orderLease());
    }

    private static void registerGauges(MetricRegistry metrics, ControlReplica controlReplica) {
        metrics.registerGauge(
                "control_log.seconds_without_disk",
                () -> controlReplica.outage().map(Duration::toSeconds).orElse(0L));
        metrics.registerGauge(
                "control_log.seconds_without_leader",
                () -> controlReplica.withoutLeader().map(Duration::toSeconds).orElse(0L));
    }

    private ControlReplica startReplica(Path folder, ControlStateMachine stateMachine) {
        Set<InstanceId> seeds = settings.replicas().keySet();
        return ControlReplica.start(
                settings.instance(),
                FoundingPermit.isGranted(folder, settings.interfaces().foundsCluster()) ? seeds : Set.of(),
                seeds,
                folder.resolve("log"),
                stateMachine,
                peers);
    }

    private InstanceAccess instanceAccess() {
        RulesStore store = new ControlRulesStore(instance.control(), ADMINISTRATION_DEADLINE);
        return new InstanceAccess(
                instance.listing(),
                instance.announcements(),
                store,
                instance.evacuations(),
                () -> instance.control().view().rules(),
                instance::isReady);
    }

    private CompletableFuture<RulesReader.Revision> rulesText() {
        return instance.control()
                .readRules(ADMINISTRATION_DEADLINE)
                .thenApply(source -> new RulesReader.Revision(source.revision(), source.text()));
    }

    private RequestLimits requestLimits() {
        RequestLimits defaults = RequestLimits.defaults();
        return new RequestLimits(
                defaults.defaultDeadline(),
                defaults.maximumDeadline(),
                settings.progressTimeout(),
                defaults.controlDeadline(),
                defaults.orderRetryDelay(),
                defaults.windowBytes(),
                defaults.maximumAttempts());
    }

    private Optional<InetSocketAddress> addressOf(InstanceId peer) {
        Optional<Member> member =
                instance == null ? Optional.empty() : instance.membership().member(peer);
        return member.flatMap(known -> PeerAddress.parse(known.peerAddress()))
                .or(() -> Optional.ofNullable(settings.replicas().get(peer)))
                .or(() -> PeerAddress.parse(peer.value()));
    }

    private static List<InstanceId> membersOf(ControlReplica controlReplica) {
        return controlReplica.status().members().voters().stream()
                .map(ReplicaId::instance)
                .toList();
    }

    private static String hostAndPort(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
