package org.basilrill.daemon;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
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
import org.basilrill.coordination.engine.EngineOrders;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.daemon.settings.Settings;
import org.basilrill.protocol.administration.AdministrationHandler;
import org.basilrill.protocol.administration.AdministrationViews;
import org.basilrill.protocol.administration.PlacementView;
import org.basilrill.protocol.administration.RulesText;
import org.basilrill.protocol.caller.PlainRoutes;
import org.basilrill.protocol.dialect.Dialect;
import org.basilrill.protocol.dialect.DialectProvider;
import org.basilrill.protocol.dialect.DialectProvider.DialectOptions;
import org.basilrill.protocol.dialect.InstanceAccess;
import org.basilrill.protocol.dialect.InstanceAccess.RulesStore;
import org.basilrill.protocol.instance.Instance;
import org.basilrill.protocol.instance.InstanceEnvironment;
import org.basilrill.protocol.instance.InstanceEnvironment.LocalReplica;
import org.basilrill.protocol.instance.OutsideOptions;
import org.basilrill.protocol.instance.OutsideOptions.EngineAccess;
import org.basilrill.protocol.instance.RequestLimits;
import org.basilrill.protocol.observation.MetricsRoute;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.transport.http.GatewayRoutes;
import org.basilrill.transport.http.GatewaySettings;
import org.basilrill.transport.http.HttpEngineOrders;
import org.basilrill.transport.http.HttpGateway;
import org.basilrill.transport.http.HttpTargetOrders;
import org.basilrill.transport.http.TargetHttpClient;
import org.basilrill.transport.observation.Tracing;
import org.basilrill.transport.peer.PeerAddress;
import org.basilrill.transport.peer.PeerTransport;
import org.basilrill.transport.threads.ControlReplica;
import org.basilrill.transport.threads.FoundingPermit;
import org.basilrill.transport.threads.SystemClock;

/** Runs one instance with real sockets, threads and disks. Thread safe. */
public final class InstanceDaemon {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final Duration ADMINISTRATION_DEADLINE = Duration.ofSeconds(5);
    private static final Duration ORDER_TIMEOUT = Duration.ofSeconds(2);
    /** Handing buckets over spares the next owner the wait for a lost one; a stop does not depend on it. */
    private static final Duration HAND_OVER_LIMIT = Duration.ofSeconds(2);

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
     * Assembles a daemon.
     *
     * @throws org.basilrill.api.BasilrillException with {@code DISK_FAILED} if the data folder cannot be used
     */
    public InstanceDaemon(Settings settings) {
        this.settings = settings;
        MetricRegistry metrics = new MetricRegistry();
        this.peers = new PeerTransport(
                settings.instance(), this::addressOf, threads.peers(), clock, threads.scheduler(), metrics);
        RequestLimits limits = limits();
        this.targetClient = new TargetHttpClient(
                TargetHttpClient.Settings.defaults(limits.windowBytes()), clock, threads.scheduler());
        this.dialect = settings.outside().dialect().map(this::createDialect);
        OutsideOptions outside = new OutsideOptions(
                dialect,
                settings.outside().listingValidity(),
                new OutsideOptions.RetryLimits(
                        settings.outside().retryShare(), settings.outside().retrySlack()),
                dialect.map(this::engineAccess),
                new LossTolerance(settings.outside().lossToleranceTokens()));
        ControlStateMachine machine = new ControlStateMachine(outside.rulesFormat());
        this.replica = settings.dataFolder().map(folder -> startReplica(folder, machine));
        this.instance = new Instance(environment(machine, limits, metrics, outside));
        this.gateway = createGateway(metrics);
    }

    /**
     * Starts to serve.
     *
     * @throws org.basilrill.api.BasilrillException with {@code ADDRESS_IN_USE} if an address cannot be bound
     */
    public void start() {
        instance.handlers().forEach(peers::handle);
        replica.ifPresent(log -> peers.handle(PeerSubject.CONSENSUS, log));
        gateway.start();
        peers.start(settings.peerListenAddress(), settings.peerAddress());
        instance.start();
        LOGGER.atInfo().log("%s: %s", LogEvent.INSTANCE_STARTED, settings.instance());
    }

    /** Takes settings that were changed while the instance runs: the seeds. Everything else needs a new start. */
    public void reload(Settings changed) {
        List<InstanceId> seeds = List.copyOf(changed.replicas().keySet());
        instance.learnSeeds(seeds);
        replica.ifPresent(log -> log.learnContacts(seeds));
        LOGGER.atInfo().log("%s: seeds %s", LogEvent.SETTINGS_RELOADED, seeds);
    }

    /** Stops gracefully, in the background: finishes the running requests within the drain limit. */
    public void beginStop() {
        if (stopping.compareAndSet(false, true)) {
            new Thread(this::stop, "stop").start();
        }
    }

    /** Waits until a stop has ended. */
    public void awaitStop() throws InterruptedException {
        stopped.await();
    }

    private void stop() {
        LOGGER.atInfo().log("%s: %s", LogEvent.INSTANCE_DRAINING, settings.instance());
        // Buckets first, as handing them over needs a leader that commits.
        CompletableFuture<Boolean> handedOver = instance.beginDrain()
                .completeOnTimeout(null, HAND_OVER_LIMIT.toMillis(), TimeUnit.MILLISECONDS)
                .thenCompose(buckets -> handOverLeadership());
        gateway.sendCallersAway();
        awaitStaleListings();
        CompletableFuture<HttpGateway.StopReport> drained = gateway.stop(settings.drainLimit());
        await(drained, settings.drainLimit().plusSeconds(1));
        await(handedOver, HAND_OVER_LIMIT);
        await(instance.releaseSession(), HAND_OVER_LIMIT);
        // Another replica may have handed its leadership to this one during the drain.
        await(handOverLeadership(), HAND_OVER_LIMIT);
        instance.stop();
        replica.ifPresent(ControlReplica::close);
        peers.close();
        targetClient.close();
        threads.close();
        LOGGER.atInfo().log("%s: %s", LogEvent.INSTANCE_STOPPED, settings.instance());
        stopped.countDown();
    }

    private CompletableFuture<Boolean> handOverLeadership() {
        return replica.map(ControlReplica::handOverLeadership).orElseGet(() -> CompletableFuture.completedFuture(true));
    }

    /** Callers that hold an answer of GET /v1/instances may still connect here until it is too old to be used. */
    private void awaitStaleListings() {
        Duration validity = settings.outside().staleListingWait();
        await(
                new CompletableFuture<Void>().completeOnTimeout(null, validity.toMillis(), TimeUnit.MILLISECONDS),
                validity.plusSeconds(1));
    }

    private static void await(CompletableFuture<?> future, Duration limit) {
        try {
            future.get(limit.toMillis(), TimeUnit.MILLISECONDS);
        } catch (TimeoutException | ExecutionException exception) {
            LOGGER.atWarning().withCause(exception).log("a step of the stop did not end in time");
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private InstanceEnvironment environment(
            ControlStateMachine machine, RequestLimits limits, MetricRegistry metrics, OutsideOptions outside) {
        return new InstanceEnvironment(
                settings.instance(),
                settings.dataCentre(),
                text(settings.callerAddress()),
                text(settings.peerAddress()),
                List.copyOf(settings.replicas().keySet()),
                clock,
                threads.scheduler(),
                new SplittableRandom(),
                peers,
                targetClient,
                new HttpTargetOrders(targetClient, threads.scheduler(), ORDER_TIMEOUT),
                System::currentTimeMillis,
                Tracing.tracer(),
                metrics,
                limits,
                settings.operatorKeyHash().map(KeyHash::new),
                replica.map(log -> new LocalReplica(log, machine, () -> membersOf(log), log::learnContacts)),
                outside);
    }

    private HttpGateway createGateway(MetricRegistry metrics) {
        AdministrationViews views = new AdministrationViews(
                settings.instance(),
                instance.control(),
                instance.membership(),
                instance.targets(),
                instance.coordinator()::requestsInFlight,
                instance.budgets()::snapshots,
                () -> replica.map(ControlReplica::status));
        AdministrationHandler administration = new AdministrationHandler(
                instance.control(),
                this::rulesText,
                views,
                () -> instance.placement().map(PlacementView::describe).orElseGet(PlacementView::absent),
                this::beginStop,
                settings.operatorKeyHash().map(KeyHash::new),
                ADMINISTRATION_DEADLINE);
        GatewayRoutes routes = new GatewayRoutes(
                instance.listing(),
                instance.announcements()::announced,
                settings.announcementKeyHash().map(KeyHash::new),
                administration,
                metrics,
                instance::isReady);
        PlainRoutes served = new MetricsRoute(
                metrics, dialect.map(spoken -> spoken.routes(access())).orElse(routes));
        return new HttpGateway(
                GatewaySettings.defaults(settings.callerAddress())
                        .withOwnAddresses(
                                settings.outside().ownAddresses(),
                                settings.outside().metricsAddress()),
                instance.coordinator(),
                served,
                clock,
                threads.scheduler());
    }

    private Dialect createDialect(String name) {
        DialectOptions options = new DialectOptions(
                settings.outside().announcementValidity(),
                settings.outside().listingValidity(),
                settings.outside().listedInstances());
        return ServiceLoader.load(DialectProvider.class).stream()
                .map(ServiceLoader.Provider::get)
                .filter(provider -> provider.name().equals(name))
                .findFirst()
                .map(provider -> provider.create(options))
                .orElseThrow(() -> new BasilrillException(
                        ErrorCode.SETTINGS_INVALID, "dialect: \"" + name + "\" is not part of this program"));
    }

    private EngineAccess engineAccess(Dialect spoken) {
        EngineOrders orders = new HttpEngineOrders(
                targetClient, threads.scheduler(), spoken.engines(), settings.instance(), ORDER_TIMEOUT);
        return new EngineAccess(orders, settings.outside().orderLease());
    }

    private ControlReplica startReplica(Path folder, ControlStateMachine machine) {
        Set<InstanceId> seeds = settings.replicas().keySet();
        return ControlReplica.start(
                settings.instance(),
                FoundingPermit.granted(folder, settings.outside().foundsCluster()) ? seeds : Set.of(),
                seeds,
                folder.resolve("log"),
                machine,
                peers);
    }

    private InstanceAccess access() {
        RulesStore store = new ControlRulesStore(instance.control(), ADMINISTRATION_DEADLINE);
        return new InstanceAccess(instance.listing(), instance.announcements(), store, instance::isReady);
    }

    private CompletableFuture<RulesText.Revision> rulesText() {
        return instance.control()
                .readRules(ADMINISTRATION_DEADLINE)
                .thenApply(source -> new RulesText.Revision(source.revision(), source.text()));
    }

    private RequestLimits limits() {
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

    private Optional<InetSocketAddress> addressOf(InstanceId other) {
        Optional<Member> member =
                instance == null ? Optional.empty() : instance.membership().member(other);
        return member.flatMap(known -> PeerAddress.parse(known.peerAddress()))
                .or(() -> Optional.ofNullable(settings.replicas().get(other)))
                .or(() -> PeerAddress.parse(other.value()));
    }

    private static List<InstanceId> membersOf(ControlReplica log) {
        return log.status().members().voters().stream().map(ReplicaId::instance).toList();
    }

    private static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }
}
