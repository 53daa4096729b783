package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.function.ToIntFunction;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.DemandListener;
import org.basilrill.coordination.admission.Dispatcher;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;
import org.basilrill.coordination.admission.DispatcherOptions;
import org.basilrill.coordination.admission.FairDispatcher;
import org.basilrill.coordination.limit.RequestPermits;
import org.basilrill.coordination.routing.CacheEvent;
import org.basilrill.coordination.routing.RequestProfile;
import org.basilrill.coordination.routing.RoutingOptions;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.scaffold.measure.SchemeResult.AccountResult;
import org.basilrill.scaffold.measure.Workload.Account;
import org.basilrill.scaffold.measure.Workload.Arrival;
import org.basilrill.scaffold.measure.Workload.Urgency;
import org.basilrill.scaffold.virtual.VirtualTime;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.Load;
import org.basilrill.state.target.TargetRegistry;

/**
 * Runs one workload under one dispatch scheme on virtual time: 12 instances route to 13 engines in four data centres.
 * Engines send load reports every 250 ms, which arrive up to 200 ms later; 10 % of the cache events are lost. Not
 * thread safe.
 */
final class DispatchSimulation {
    static final int INSTANCES = 12;
    static final int ENGINES = 13;
    static final Duration FIRST_TOKEN_OBJECTIVE = Duration.ofMillis(380);

    private static final int DATA_CENTRES = 4;
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);
    private static final Duration MAXIMUM_REPORT_DELAY = Duration.ofMillis(200);
    private static final double CACHE_EVENT_LOSS_RATE = 0.1;
    /** A stream with a longer pause between two events counts as late. */
    private static final Duration LONGEST_PAUSE = Duration.ofMillis(400);

    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    private static final Urgency USUAL_URGENCY = new Urgency(5, FIRST_TOKEN_OBJECTIVE, DEADLINE);

    private final VirtualTime time = new VirtualTime();
    private final Workload workload;
    private final SplittableRandom random;
    private final Fleet fleet;
    private final Map<TargetId, SimulatedTarget> engines = new TreeMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, AccountCounts> countsByAccount = new TreeMap<>();
    private int fullResponses;

    DispatchSimulation(Workload workload, Scheme scheme, RoutingOptions options, long seed) {
        this(new Fleet(INSTANCES, DispatchSimulation::usualEngines), workload, scheme, options, seed);
    }

    DispatchSimulation(Fleet fleet, Workload workload, Scheme scheme, RoutingOptions options, long seed) {
        this.fleet = fleet;
        this.workload = workload;
        this.random = new SplittableRandom(seed);
        fleet.engines().apply(time).forEach(engine -> engines.put(engine.id(), engine));
        for (int number = 0; number < fleet.instances(); number++) {
            instances.add(createInstance(number, scheme, options));
        }
        workload.accounts().forEach(account -> countsByAccount.put(account.name(), new AccountCounts(account)));
    }

    /** Runs the workload to its end, and then for two request deadlines so that all requests complete. */
    SchemeResult run(String schemeName) {
        engines.values().forEach(this::sendLoadReport);
        // Starts the requests only after the first load reports have arrived.
        long start = REPORT_INTERVAL.plus(MAXIMUM_REPORT_DELAY).toNanos();
        for (Arrival arrival : workload.arrivals()) {
            Instance instance = instances.get(random.nextInt(fleet.instances()));
            time.schedule(Duration.ofNanos(start + arrival.atNanos() - time.nanos()), () -> send(instance, arrival));
        }
        long last = workload.arrivals().isEmpty()
                ? 0
                : workload.arrivals().get(workload.arrivals().size() - 1).atNanos();
        time.runUntil(start + last + DEADLINE.plus(DEADLINE).toNanos());
        List<AccountResult> accounts = workload.accounts().stream()
                .map(account -> countsByAccount.get(account.name()).result(account))
                .toList();
        return SchemeResult.of(schemeName, accounts, fullResponses);
    }

    /** Creates engines with three copies of the five most popular models, two of the next ten and one of each other. */
    private static List<SimulatedTarget> usualEngines(VirtualTime time) {
        List<Set<Integer>> contents = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            contents.add(new HashSet<>());
        }
        int next = 0;
        for (int model = 0; model < Workload.MODELS; model++) {
            int copies = model < 5 ? 3 : model < 15 ? 2 : 1;
            for (int copy = 0; copy < copies; copy++) {
                contents.get(next++ % ENGINES).add(model);
            }
        }
        List<SimulatedTarget> engines = new ArrayList<>();
        for (int number = 0; number < ENGINES; number++) {
            String dataCentre = "dc-" + number % DATA_CENTRES;
            engines.add(new SimulatedEngine(time, "engine-" + number, dataCentre, contents.get(number)));
        }
        return engines;
    }

    private Instance createInstance(int number, Scheme scheme, RoutingOptions options) {
        TargetRegistry registry = new TargetRegistry(time);
        TargetRouter router = new TargetRouter(
                new InstanceId("instance-" + number),
                "dc-" + number % DATA_CENTRES,
                time,
                random.split(),
                fleet::instances,
                options);
        router.setEngineMemory(target -> engines.get(target.id()).memoryTokens());
        return new Instance(registry, router, scheme.create(time, registry, router, weights(workload)));
    }

    private static ToIntFunction<AccountId> weights(Workload workload) {
        Map<String, Integer> weights =
                workload.accounts().stream().collect(Collectors.toMap(Account::name, Account::weight));
        return account -> weights.getOrDefault(account.value(), 1);
    }

    private void sendLoadReport(SimulatedTarget engine) {
        TargetAnnouncement announcement = engine.announcement();
        CacheEvent event = engine.cacheEvent();
        boolean cacheEventLost = random.nextDouble() < CACHE_EVENT_LOSS_RATE;
        for (Instance instance : instances) {
            Duration reportDelay = Duration.ofNanos((long) (random.nextDouble() * MAXIMUM_REPORT_DELAY.toNanos()));
            time.schedule(reportDelay, () -> {
                instance.registry().announce(announcement);
                if (instance.dispatcher() instanceof FairDispatcher) {
                    ((FairDispatcher) instance.dispatcher()).targetChanged(announcement);
                }
                if (!cacheEventLost) {
                    instance.router().received(event);
                }
            });
        }
        time.schedule(REPORT_INTERVAL, () -> sendLoadReport(engine));
    }

    private void send(Instance instance, Arrival arrival) {
        AccountCounts counts = countsByAccount.get(arrival.account());
        counts.sent++;
        counts.offeredTokens += arrival.tokens();
        Urgency urgency = counts.account.urgency().orElse(USUAL_URGENCY);
        Request request = new Request(
                "request-" + arrival.atNanos() + "-" + arrival.account(),
                Optional.of(new AccountId(arrival.account())),
                Destination.ofModel(SimulatedEngine.modelId(arrival.model())),
                urgency.priority(),
                arrival.tokens(),
                time.nanos() + urgency.deadline().toNanos(),
                Set.of(),
                arrival.prompt(),
                new RequestProfile(
                        arrival.promptTokens(),
                        arrival.outputTokens(),
                        counts.account.urgency().map(Urgency::firstEvent),
                        OptionalLong.of(time.nanos() + urgency.deadline().toNanos())));
        dispatch(instance, request, arrival, time.nanos());
    }

    private void dispatch(Instance instance, Request request, Arrival arrival, long sentNanos) {
        instance.dispatcher().dispatch(request).whenComplete((assignment, failure) -> {
            if (failure != null) {
                countsByAccount.get(arrival.account()).refused++;
                return;
            }
            time.schedule(ONE_WAY_DELAY, () -> offer(instance, assignment, request, arrival, sentNanos));
        });
    }

    private void offer(Instance instance, Assignment assignment, Request request, Arrival arrival, long sentNanos) {
        AccountCounts counts = countsByAccount.get(arrival.account());
        boolean accepted = engines.get(assignment.target().id())
                .offer(arrival, request.priority(), new SimulatedTarget.Progress() {
                    private long delayNanos;

                    @Override
                    public void firstEvent(Optional<Load> load) {
                        delayNanos = time.nanos() + ONE_WAY_DELAY.toNanos() - sentNanos;
                        counts.recordFirstToken(delayNanos, arrival);
                        load.ifPresent(stated -> time.schedule(ONE_WAY_DELAY, () -> {
                            assignment.responseStarted(load);
                            assignment.firstEventReceived();
                        }));
                    }

                    @Override
                    public void finished(long longestPauseNanos) {
                        counts.recordEnd(delayNanos, longestPauseNanos);
                        time.schedule(ONE_WAY_DELAY, () -> assignment.release(AttemptResult.SUCCEEDED));
                    }
                });
        if (!accepted) {
            fullResponses++;
            time.schedule(ONE_WAY_DELAY, () -> {
                assignment.release(AttemptResult.REFUSED_FULL);
                dispatch(instance, request, arrival, sentNanos);
            });
        }
    }

    /** Creates the dispatcher of one instance. */
    @FunctionalInterface
    interface Scheme {
        Dispatcher create(
                VirtualTime time, TargetRegistry registry, TargetRouter router, ToIntFunction<AccountId> weights);

        /** Returns the scheme with the {@link FairDispatcher}. */
        static Scheme fair() {
            return (time, registry, router, weights) -> new FairDispatcher(
                    registry,
                    router,
                    time,
                    time,
                    weights,
                    model -> Optional.empty(),
                    DemandListener.none(),
                    DispatcherOptions.defaults(),
                    RequestPermits.UNLIMITED);
        }

        /** Returns the baseline that dispatches in order of arrival with the {@link TargetRouter}. */
        static Scheme firstComeFirstServed() {
            return (time, registry, router, weights) -> BaselineDispatcher.firstComeFirstServed(time, registry, router);
        }

        /** Returns the baseline that sends requests to the ready targets round robin, without waiting for a slot. */
        static Scheme roundRobin() {
            return (time, registry, router, weights) -> BaselineDispatcher.roundRobin(time, registry);
        }
    }

    /**
     * The instances and the engines.
     *
     * @param engines creates the engines
     */
    record Fleet(int instances, Function<VirtualTime, List<SimulatedTarget>> engines) {}

    /** One instance; it knows the targets only from the reports that it received. */
    private record Instance(TargetRegistry registry, TargetRouter router, Dispatcher dispatcher) {}

    /** Counts of the requests of one client account. */
    private static final class AccountCounts {
        private final Account account;
        private final Histogram delays = new Histogram(3);
        private long sent;
        private long refused;
        private long withinObjective;
        private long offeredTokens;
        private long servedTokens;

        AccountCounts(Account account) {
            this.account = account;
        }

        void recordFirstToken(long delayNanos, Arrival arrival) {
            delays.recordValue(Math.max(1, delayNanos / 1000));
            servedTokens += arrival.tokens();
        }

        void recordEnd(long delayNanos, long longestPauseNanos) {
            long due = account.urgency().orElse(USUAL_URGENCY).firstEvent().toNanos();
            boolean inTime = delayNanos <= due && longestPauseNanos <= LONGEST_PAUSE.toNanos();
            withinObjective += inTime ? 1 : 0;
        }

        AccountResult result(Account account) {
            return new AccountResult(
                    account.name(),
                    account.isSteady(),
                    sent,
                    refused,
                    withinObjective / (double) sent,
                    servedTokens / (double) offeredTokens,
                    delays.getMean() / 1000,
                    delays.getValueAtPercentile(50) / 1000.0,
                    delays.getValueAtPercentile(95) / 1000.0);
        }
    }
}
