package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import org.HdrHistogram.Histogram;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.admission.DemandListener;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;
import org.basilrill.coordination.admission.DispatcherOptions;
import org.basilrill.coordination.admission.FairDispatcher;
import org.basilrill.coordination.limit.RequestPermits;
import org.basilrill.coordination.routing.RoutingOptions;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.scaffold.virtual.VirtualTime;
import org.basilrill.state.target.TargetRegistry;

/**
 * Measures the wall-clock time of one dispatch and release, with and without a backlog, and of processing one
 * announcement. Each model has two copies, or more if there are more targets than copies. Not thread safe.
 */
final class DecisionTime {
    private static final int[] TARGETS = {10, 100, 600};
    private static final int[] MODELS = {13, 130, 1500};
    private static final int[] BACKLOGS = {0, 1000};
    private static final int COPIES = 2;
    private static final int WARM_UP_REQUESTS = 2_000;
    private static final int MEASURED_REQUESTS = 5_000;

    private final VirtualTime time = new VirtualTime();
    private final SplittableRandom random;
    private final int models;
    private final List<SimulatedEngine> engines = new ArrayList<>();
    private final TargetRegistry registry = new TargetRegistry(time);
    private final FairDispatcher dispatcher;
    private long requestNumber;

    private DecisionTime(long seed, int targets, int models) {
        this.random = new SplittableRandom(seed);
        this.models = models;
        int modelsPerTarget = Math.max(1, (models * COPIES + targets - 1) / targets);
        for (int number = 0; number < targets; number++) {
            Set<Integer> contents = new HashSet<>();
            for (int offset = 0; offset < modelsPerTarget; offset++) {
                contents.add((number * modelsPerTarget + offset) % models);
            }
            engines.add(new SimulatedEngine(time, "engine-" + number, "dc-" + number % 6, contents));
        }
        engines.forEach(engine -> registry.announce(engine.announcement()));
        TargetRouter router = new TargetRouter(
                new InstanceId("one"), "dc-0", time, random.split(), () -> 1, RoutingOptions.defaults());
        dispatcher = new FairDispatcher(
                registry,
                router,
                time,
                time,
                account -> 1,
                model -> Optional.empty(),
                DemandListener.none(),
                DispatcherOptions.defaults(),
                RequestPermits.UNLIMITED);
    }

    static List<Sample> measureAll(long seed) {
        List<Sample> samples = new ArrayList<>();
        // The first round only warms up the JIT compiler at every size; its samples are discarded.
        for (boolean recorded : new boolean[] {false, true}) {
            for (int targets : TARGETS) {
                for (int models : MODELS) {
                    for (int backlog : BACKLOGS) {
                        Sample sample = new DecisionTime(seed, targets, models).measure(targets, backlog);
                        if (recorded) {
                            samples.add(sample);
                        }
                    }
                }
            }
        }
        return samples;
    }

    private Sample measure(int targets, int backlog) {
        // Occupies every slot, so that the backlog stays queued and each release dispatches one queued request.
        List<Assignment> running = new ArrayList<>();
        List<CompletableFuture<Assignment>> waiting = new ArrayList<>();
        while (backlog > 0 && waiting.size() < backlog) {
            CompletableFuture<Assignment> future = dispatcher.dispatch(request());
            if (future.isDone()) {
                running.add(future.join());
            } else {
                waiting.add(future);
            }
        }
        Histogram nanos = new Histogram(3);
        for (int number = 0; number < WARM_UP_REQUESTS + MEASURED_REQUESTS; number++) {
            Request request = request();
            Optional<Assignment> releasedAssignment =
                    running.isEmpty() ? Optional.empty() : Optional.of(running.get(random.nextInt(running.size())));
            long start = System.nanoTime();
            CompletableFuture<Assignment> future = dispatcher.dispatch(request);
            releasedAssignment.ifPresentOrElse(
                    one -> one.release(AttemptResult.SUCCEEDED),
                    () -> future.join().release(AttemptResult.SUCCEEDED));
            long elapsed = System.nanoTime() - start;
            if (number >= WARM_UP_REQUESTS) {
                nanos.recordValue(elapsed);
            }
            releasedAssignment.ifPresent(running::remove);
            if (backlog > 0) {
                waiting.add(future);
                collectAssigned(waiting, running);
            }
        }
        return new Sample(
                targets,
                models,
                backlog,
                nanos.getValueAtPercentile(50) / 1000.0,
                nanos.getValueAtPercentile(99) / 1000.0,
                announcementMicros());
    }

    private static void collectAssigned(List<CompletableFuture<Assignment>> waiting, List<Assignment> running) {
        waiting.removeIf(future -> {
            if (future.isDone() && !future.isCompletedExceptionally()) {
                running.add(future.join());
            }
            return future.isDone();
        });
    }

    private double announcementMicros() {
        Histogram nanos = new Histogram(3);
        for (int number = 0; number < 2000; number++) {
            SimulatedEngine engine = engines.get(random.nextInt(engines.size()));
            var announcement = engine.announcement();
            long start = System.nanoTime();
            registry.announce(announcement);
            nanos.recordValue(System.nanoTime() - start);
        }
        return nanos.getValueAtPercentile(50) / 1000.0;
    }

    private Request request() {
        return new Request(
                "request-" + requestNumber++,
                Optional.of(new AccountId("account-" + random.nextInt(50))),
                Destination.ofModel(SimulatedEngine.modelId(random.nextInt(models))),
                random.nextInt(3),
                100,
                time.nanos() + Duration.ofHours(1).toNanos(),
                Set.of(),
                List.of());
    }

    /** The times measured at one combination of targets, models and queued requests; written as JSON. */
    record Sample(
            int targets,
            int models,
            int waiting,
            double medianMicros,
            double percentile99Micros,
            double announcementMicros) {}
}
