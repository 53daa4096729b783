package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
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
import org.basilrill.coordination.routing.CacheEvent;
import org.basilrill.coordination.routing.RoutingOptions;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.scaffold.measure.SchemeResult.AccountResult;
import org.basilrill.scaffold.measure.Workload.Account;
import org.basilrill.scaffold.measure.Workload.Arrival;
import org.basilrill.scaffold.virtual.VirtualTime;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetRegistry;

/**
 * Runs one workload under one scheme: 12 instances in front of 13 engines in four data centres, with load reports every
 * 250 ms that arrive up to 200 ms late and cache events of which a tenth is lost. Not thread safe.
 */
final class DispatchSimulation {
    static final int INSTANCES = 12;
    static final int ENGINES = 13;
    static final Duration OBJECTIVE = Duration.ofMillis(380);

    private static final int DATA_CENTRES = 4;
    private static final Duration REPORT_INTERVAL = Duration.ofMillis(250);
    private static final Duration LONGEST_REPORT_LAG = Duration.ofMillis(200);
    private static final double LOST_CACHE_EVENTS = 0.1;
    private static final Duration ONE_WAY = Duration.ofMillis(1);
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    private final VirtualTime time = new VirtualTime();
    private final Workload workload;
    private final SplittableRandom random;
    private final Map<TargetId, SimulatedEngine> engines = new TreeMap<>();
    private final List<Instance> instances = new ArrayList<>();
    private final Map<String, Tally> tallies = new TreeMap<>();
    private int fullAnswers;

    DispatchSimulation(Workload workload, Scheme scheme, RoutingOptions options, long seed) {
        this.workload = workload;
        this.random = new SplittableRandom(seed);
        createEngines();
        for (int number = 0; number < INSTANCES; number++) {
            instances.add(createInstance(number, scheme, options));
        }
        workload.accounts().forEach(account -> tallies.put(account.name(), new Tally()));
    }

    /** Runs to the end of the workload plus the longest deadline. */
    SchemeResult run(String schemeName) {
        engines.values().forEach(this::report);
        // The first reports arrive before the first request.
        long start = REPORT_INTERVAL.plus(LONGEST_REPORT_LAG).toNanos();
        for (Arrival arrival : workload.arrivals()) {
            Instance instance = instances.get(random.nextInt(INSTANCES));
            time.schedule(Duration.ofNanos(start + arrival.atNanos() - time.nanos()), () -> send(instance, arrival));
        }
        time.runUntil(start + Workload.LENGTH.plus(DEADLINE).plus(DEADLINE).toNanos());
        List<AccountResult> accounts = workload.accounts().stream()
                .map(account -> tallies.get(account.name()).result(account))
                .toList();
        return SchemeResult.of(schemeName, accounts, fullAnswers);
    }

    /** The five most popular models have three copies, the next ten two, the others one. */
    private void createEngines() {
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
        for (int number = 0; number < ENGINES; number++) {
            String dataCentre = "dc-" + number % DATA_CENTRES;
            SimulatedEngine engine = new SimulatedEngine(time, "engine-" + number, dataCentre, contents.get(number));
            engines.put(engine.id(), engine);
        }
    }

    private Instance createInstance(int number, Scheme scheme, RoutingOptions options) {
        TargetRegistry registry = new TargetRegistry(time);
        TargetRouter router = new TargetRouter(
                new InstanceId("instance-" + number),
                "dc-" + number % DATA_CENTRES,
                time,
                random.split(),
                () -> INSTANCES,
                options);
        return new Instance(registry, router, scheme.create(time, registry, router, weights(workload)));
    }

    private static ToIntFunction<AccountId> weights(Workload workload) {
        Map<String, Integer> weights =
                workload.accounts().stream().collect(Collectors.toMap(Account::name, Account::weight));
        return account -> weights.getOrDefault(account.value(), 1);
    }

    private void report(SimulatedEngine engine) {
        TargetAnnouncement announcement = engine.announcement();
        CacheEvent event = engine.cacheEvent();
        boolean lost = random.nextDouble() < LOST_CACHE_EVENTS;
        for (Instance instance : instances) {
            Duration lag = Duration.ofNanos((long) (random.nextDouble() * LONGEST_REPORT_LAG.toNanos()));
            time.schedule(lag, () -> {
                instance.registry().announce(announcement);
                if (instance.dispatcher() instanceof FairDispatcher) {
                    ((FairDispatcher) instance.dispatcher()).targetChanged(announcement);
                }
                if (!lost) {
                    instance.router().received(event);
                }
            });
        }
        time.schedule(REPORT_INTERVAL, () -> report(engine));
    }

    private void send(Instance instance, Arrival arrival) {
        Tally tally = tallies.get(arrival.account());
        tally.sent++;
        tally.offeredTokens += arrival.tokens();
        Request request = new Request(
                "request-" + arrival.atNanos() + "-" + arrival.account(),
                Optional.of(new AccountId(arrival.account())),
                Destination.ofModel(SimulatedEngine.model(arrival.model())),
                5,
                arrival.tokens(),
                time.nanos() + DEADLINE.toNanos(),
                Set.of(),
                arrival.prefixHashes());
        dispatch(instance, request, arrival, time.nanos());
    }

    private void dispatch(Instance instance, Request request, Arrival arrival, long sentNanos) {
        instance.dispatcher().dispatch(request).whenComplete((assignment, failure) -> {
            if (failure != null) {
                tallies.get(arrival.account()).refused++;
                return;
            }
            time.schedule(ONE_WAY, () -> offer(instance, assignment, request, arrival, sentNanos));
        });
    }

    private void offer(Instance instance, Assignment assignment, Request request, Arrival arrival, long sentNanos) {
        Tally tally = tallies.get(arrival.account());
        boolean taken = engines.get(assignment.target().id())
                .offer(
                        arrival,
                        () -> tally.firstToken(time.nanos() + ONE_WAY.toNanos() - sentNanos, arrival),
                        () -> time.schedule(ONE_WAY, () -> assignment.release(AttemptResult.SUCCEEDED)));
        if (!taken) {
            fullAnswers++;
            time.schedule(ONE_WAY, () -> {
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

        /** Returns our scheme. */
        static Scheme fair() {
            return (time, registry, router, weights) -> new FairDispatcher(
                    registry,
                    router,
                    time,
                    time,
                    weights,
                    model -> Optional.empty(),
                    DemandListener.none(),
                    DispatcherOptions.defaults());
        }

        /** Returns the baseline with one queue in order of arrival and our routing. */
        static Scheme firstComeFirstServed() {
            return (time, registry, router, weights) -> BaselineDispatcher.firstComeFirstServed(time, registry, router);
        }

        /** Returns the baseline without queue at the instance, targets in turn. */
        static Scheme roundRobin() {
            return (time, registry, router, weights) -> BaselineDispatcher.roundRobin(time, registry);
        }
    }

    /** One instance with its own view of the targets. */
    private record Instance(TargetRegistry registry, TargetRouter router, Dispatcher dispatcher) {}

    /** Counts what one client account got. */
    private static final class Tally {
        private final Histogram delays = new Histogram(3);
        private long sent;
        private long refused;
        private long withinObjective;
        private long offeredTokens;
        private long servedTokens;

        void firstToken(long delayNanos, Arrival arrival) {
            delays.recordValue(Math.max(1, delayNanos / 1000));
            withinObjective += delayNanos <= OBJECTIVE.toNanos() ? 1 : 0;
            servedTokens += arrival.tokens();
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
