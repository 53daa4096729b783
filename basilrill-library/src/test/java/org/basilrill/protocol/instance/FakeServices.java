package org.basilrill.protocol.instance;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.api.trace.Tracer;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.Dispatcher;
import org.basilrill.coordination.admission.RetryBudget;
import org.basilrill.coordination.admission.TokenAdmission;
import org.basilrill.coordination.crash.SuspectGuard;
import org.basilrill.coordination.limit.RequestPermits;
import org.basilrill.coordination.stream.StreamVersionGuard;
import org.basilrill.protocol.dialect.CallerDialect;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.RegionTable;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/** In-memory dependencies of a coordinator, which count open charges and assignments. Thread safe. */
public final class FakeServices implements TokenAdmission, Dispatcher, RetryBudget, RequestPermits {
    public static final String KEY = "brk-0123456789abcdef0123456789abcdef";
    public static final String OPERATOR_KEY = "brk-operator-0123456789abcdef";
    public static final AccountId ACCOUNT = new AccountId("parish-desk");
    public static final String MODEL = "medal-match";
    /** Two data centres of one region, and one of another. */
    static final RegionTable REGIONS = new RegionTable(Map.of("north", "home", "east", "home", "south", "abroad"));

    private final List<String> publishedFingerprints = new CopyOnWriteArrayList<>();
    private final FakeControl control = new FakeControl();
    private final List<TargetAnnouncement> targets = new CopyOnWriteArrayList<>();
    private final List<RequestRate> statedRates = new CopyOnWriteArrayList<>();
    private final AtomicInteger openCharges = new AtomicInteger();
    private final AtomicInteger openAssignments = new AtomicInteger();
    private final AtomicLong tokensUsed = new AtomicLong();
    private final List<AttemptResult> results = new CopyOnWriteArrayList<>();
    private volatile Optional<ErrorCode> admissionFailure = Optional.empty();
    private volatile CompletableFuture<Void> queueReleased = CompletableFuture.completedFuture(null);
    private volatile int remainingRetries = Integer.MAX_VALUE;

    public FakeServices() {
        control.install(rules(1, true));
    }

    /** Returns rules with one account, one model and a service with an order route. */
    public static Rules rules(long revision, boolean keyInForce) {
        ModelId model = new ModelId(MODEL);
        return new Rules(
                revision,
                Map.of(ACCOUNT, new Rules.Account(ACCOUNT, 2000, 20000, 1)),
                keyInForce ? Map.of(KeyHash.of(KEY), ACCOUNT) : Map.of(),
                Map.of(KeyHash.of(OPERATOR_KEY), new Rules.Operator("ana", Rules.Role.ADMIN)),
                Map.of(model, new Rules.Model(model, 1, 1, 1, 1, 5)),
                Map.of(),
                Map.of("ledger", new Rules.Service("ledger", 0, List.of(new Rules.RoutePattern("POST", "/orders")))),
                List.of(new Rules.RoutePattern("GET", "/v1/services/ledger/status")),
                Rules.StoreLimits.defaults());
    }

    public static TargetAnnouncement target(String name, int port) {
        return new TargetAnnouncement(
                new TargetId(name),
                1,
                1,
                "127.0.0.1",
                port,
                "north",
                Optional.empty(),
                2000,
                1,
                Map.of(),
                Set.of(),
                8,
                new TargetAnnouncement.Load(0, 0),
                true,
                false,
                Optional.empty(),
                0);
    }

    /** Returns the target in another incarnation, or leaving. */
    static TargetAnnouncement changed(TargetAnnouncement target, long incarnation, boolean leaving) {
        return new TargetAnnouncement(
                target.id(),
                incarnation,
                1,
                target.host(),
                target.port(),
                target.dataCentre(),
                target.service(),
                target.timeToLiveMillis(),
                target.memoryBytes(),
                target.contents(),
                target.roles(),
                target.slots(),
                target.load(),
                target.enforcesFencing(),
                leaving,
                target.softwareVersion(),
                target.coldRemainingMillis());
    }

    /** Returns a target of a service with a software version. */
    static TargetAnnouncement target(String name, int port, String service, String softwareVersion) {
        return target("north", name, port, service, softwareVersion);
    }

    /** Returns a target of a service in a data centre. */
    public static TargetAnnouncement target(
            String dataCentre, String name, int port, String service, String softwareVersion) {
        return new TargetAnnouncement(
                new TargetId(name),
                1,
                1,
                "127.0.0.1",
                port,
                dataCentre,
                Optional.of(service),
                2000,
                1,
                Map.of(),
                Set.of(),
                8,
                new TargetAnnouncement.Load(0, 0),
                true,
                false,
                Optional.of(softwareVersion),
                0);
    }

    public RequestServices with(
            TargetConnector connector, MonotonicClock clock, Scheduler scheduler, Tracer tracer, RequestLimits limits) {
        return with(connector, clock, scheduler, tracer, limits, Optional.empty());
    }

    RequestServices with(
            TargetConnector connector,
            MonotonicClock clock,
            Scheduler scheduler,
            Tracer tracer,
            RequestLimits limits,
            Optional<CallerDialect> dialect) {
        return new RequestServices(
                new InstanceId("north-1"),
                control,
                this,
                this,
                this,
                connector,
                clock,
                scheduler,
                () -> 1_000_000,
                new Random(11),
                new RequestTracing(tracer),
                new MetricRegistry(),
                limits,
                () -> List.of("127.0.0.1:4001"),
                new BlockedRequests(clock, publishedFingerprints::add),
                new SuspectGuard(control, clock, scheduler, new KnownTargets()),
                new StreamVersionGuard(control, clock, scheduler, new KnownTargets()),
                new RequestIdCheck(),
                this,
                REGIONS,
                dialect);
    }

    @Override
    public void observe(TargetAnnouncement target, Optional<RequestRate> rate) {
        rate.ifPresent(statedRates::add);
    }

    /** Returns the request rates that targets stated. */
    public List<RequestRate> statedRates() {
        return statedRates;
    }

    /** Returns the fingerprints of blocked requests that were published to other instances. */
    public List<String> publishedFingerprints() {
        return publishedFingerprints;
    }

    public FakeControl control() {
        return control;
    }

    /** Returns the targets; a request is assigned to the first one that is not excluded. */
    public List<TargetAnnouncement> targets() {
        return targets;
    }

    public int openCharges() {
        return openCharges.get();
    }

    public int openAssignments() {
        return openAssignments.get();
    }

    public long tokensUsed() {
        return tokensUsed.get();
    }

    public List<AttemptResult> results() {
        return new ArrayList<>(results);
    }

    public void failAdmission(ErrorCode code) {
        admissionFailure = Optional.ofNullable(code);
    }

    public void allowRetries(int number) {
        remainingRetries = number;
    }

    @Override
    public CompletableFuture<Charge> charge(AccountId account, long tokens, long deadlineNanos) {
        if (admissionFailure.isPresent()) {
            return CompletableFuture.failedFuture(
                    new BasilrillException(admissionFailure.get(), "refused by the test"));
        }
        openCharges.incrementAndGet();
        return CompletableFuture.completedFuture(new CountedCharge(tokens));
    }

    @Override
    public boolean hasOtherTarget(Destination destination, Set<TargetId> used) {
        return targets.stream().anyMatch(target -> !used.contains(target.id()) && isAllowed(target, destination));
    }

    @Override
    public Set<TargetId> allButLeastLoaded(Destination destination, Set<TargetId> excluded) {
        return targets.stream()
                .filter(target -> !excluded.contains(target.id()) && isAllowed(target, destination))
                .skip(1)
                .map(TargetAnnouncement::id)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Queues requests from now on until {@link #releaseLater}. */
    void holdQueue() {
        queueReleased = new CompletableFuture<>();
    }

    /** Queues no further requests; returns the future on which the queued ones wait. */
    CompletableFuture<Void> releaseLater() {
        CompletableFuture<Void> queue = queueReleased;
        queueReleased = CompletableFuture.completedFuture(null);
        return queue;
    }

    @Override
    public CompletableFuture<Assignment> dispatch(Request request) {
        return queueReleased.thenCompose(released -> assign(request));
    }

    private CompletableFuture<Assignment> assign(Request request) {
        return targets.stream()
                .filter(target -> !request.excludedTargets().contains(target.id()))
                .filter(target -> isAllowed(target, request.destination()))
                .findFirst()
                .map(target -> {
                    openAssignments.incrementAndGet();
                    return CompletableFuture.<Assignment>completedFuture(new CountedAssignment(target));
                })
                .orElseGet(() -> CompletableFuture.failedFuture(
                        new BasilrillException(ErrorCode.NO_TARGET, "no target is left")));
    }

    private static boolean isAllowed(TargetAnnouncement target, Destination destination) {
        return destination.residency().allows(target.dataCentre())
                && destination
                        .softwareVersion()
                        .map(version -> version.equals(target.softwareVersion().orElse("")))
                        .orElse(true);
    }

    @Override
    public void requestStarted() {
        // The number of retries of this fake does not depend on the number of requests.
    }

    @Override
    public synchronized boolean tryRetry() {
        if (remainingRetries <= 0) {
            return false;
        }
        remainingRetries--;
        return true;
    }

    /** A charge whose settlement is counted. */
    private final class CountedCharge implements Charge {
        private final long tokens;
        private boolean settled;

        CountedCharge(long tokens) {
            this.tokens = tokens;
        }

        @Override
        public long tokens() {
            return tokens;
        }

        @Override
        public synchronized void settle(long usedTokens) {
            if (!settled) {
                settled = true;
                openCharges.decrementAndGet();
                tokensUsed.addAndGet(usedTokens);
            }
        }
    }

    /** An assignment whose release is counted. */
    private final class CountedAssignment implements Assignment {
        private final TargetAnnouncement target;
        private boolean released;

        CountedAssignment(TargetAnnouncement target) {
            this.target = target;
        }

        @Override
        public TargetAnnouncement target() {
            return target;
        }

        @Override
        public synchronized void release(AttemptResult result) {
            if (!released) {
                released = true;
                openAssignments.decrementAndGet();
                results.add(result);
            }
        }
    }

    /** The targets of these services. */
    private final class KnownTargets implements TargetDirectory {
        @Override
        public Collection<TargetAnnouncement> targets() {
            return targets;
        }

        @Override
        public Optional<TargetAnnouncement> target(TargetId id) {
            return targets.stream().filter(known -> known.id().equals(id)).findFirst();
        }

        @Override
        public Collection<TargetAnnouncement> readyFor(ModelId model) {
            return targets;
        }

        @Override
        public Collection<TargetAnnouncement> ofService(String service) {
            return targets;
        }
    }
}
