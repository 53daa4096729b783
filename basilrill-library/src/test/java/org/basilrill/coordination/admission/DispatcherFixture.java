package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.atomic.AtomicLong;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.admission.Dispatcher.Assignment;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.admission.Dispatcher.Request;
import org.basilrill.coordination.limit.RequestPermits;
import org.basilrill.coordination.routing.RoutingOptions;
import org.basilrill.coordination.routing.TargetRestrictions;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetChangeListener.Kind;
import org.basilrill.state.target.TargetRegistry;

/** A dispatcher with registry and router on virtual time, wired as in an instance. */
final class DispatcherFixture {
    private final VirtualTime time = new VirtualTime();
    private final TargetRegistry registry = new TargetRegistry(time);
    private final Map<AccountId, Integer> weights = new TreeMap<>();
    private final Map<ModelId, Duration> untilReady = new TreeMap<>();
    private final Map<ModelId, Integer> queuedWithoutCopy = new TreeMap<>();
    private final Map<ModelId, Integer> requested = new TreeMap<>();
    private final TargetRouter router;
    private final FairDispatcher dispatcher;
    private final AtomicLong requests = new AtomicLong();

    DispatcherFixture(long seed) {
        this(seed, 1, DispatcherOptions.defaults().queueLimit());
    }

    DispatcherFixture(long seed, int instances, int queueLimit) {
        this(seed, instances, queueLimit, RequestPermits.UNLIMITED);
    }

    DispatcherFixture(long seed, int instances, int queueLimit, RequestPermits permits) {
        DispatcherOptions defaults = DispatcherOptions.defaults();
        router = new TargetRouter(
                new InstanceId("one"),
                "north",
                time,
                new SplittableRandom(seed),
                () -> instances,
                RoutingOptions.defaults(),
                permits,
                TargetRestrictions.none(new InstanceId("one"), time));
        dispatcher = new FairDispatcher(
                registry,
                router,
                time,
                time,
                account -> weights.getOrDefault(account, 1),
                model -> Optional.ofNullable(untilReady.get(model)),
                demandRecorder(),
                new DispatcherOptions(
                        queueLimit,
                        defaults.dispatchesPerTurn(),
                        defaults.recheckInterval(),
                        defaults.shortestRetryAfter(),
                        defaults.longestRetryAfter()),
                permits);
        dispatcher.setAbsenceListener(
                (target, model) -> registry.contentChanged(target.id(), target.incarnation(), model, false));
        registry.addListener(change -> {
            if (change.kind() == Kind.EXPIRED) {
                dispatcher.targetExpired(change.announcement().id());
            } else {
                dispatcher.targetChanged(change.announcement());
            }
        });
    }

    VirtualTime time() {
        return time;
    }

    TargetRegistry registry() {
        return registry;
    }

    Map<AccountId, Integer> weights() {
        return weights;
    }

    Map<ModelId, Duration> untilReady() {
        return untilReady;
    }

    Map<ModelId, Integer> queuedWithoutCopy() {
        return queuedWithoutCopy;
    }

    Map<ModelId, Integer> requested() {
        return requested;
    }

    TargetRouter router() {
        return router;
    }

    FairDispatcher dispatcher() {
        return dispatcher;
    }

    Request request(String account, String model, int priority, long tokens, Duration timeout) {
        return request(account, model, priority, tokens, timeout, Set.of());
    }

    Request request(String account, String model, int priority, long tokens, Duration timeout, Set<TargetId> excluded) {
        return new Request(
                "r" + requests.getAndIncrement(),
                Optional.of(new AccountId(account)),
                Destination.ofModel(new ModelId(model)),
                priority,
                tokens,
                time.nanos() + timeout.toNanos(),
                excluded,
                List.of());
    }

    CompletableFuture<Assignment> dispatch(String account, String model) {
        return dispatcher.dispatch(request(account, model, 5, 100, Duration.ofSeconds(30)));
    }

    void announce(TargetAnnouncement announcement) {
        registry.announce(announcement);
    }

    static BasilrillException failureOf(CompletableFuture<Assignment> future) {
        if (!future.isDone()) {
            // Joining would block instead of failing the test.
            throw new AssertionError("the request still waits");
        }
        try {
            future.join();
        } catch (CompletionException failure) {
            return (BasilrillException) failure.getCause();
        }
        throw new AssertionError("the request was assigned");
    }

    private DemandListener demandRecorder() {
        return new DemandListener() {
            @Override
            public void requestReceived(ModelId model, long tokens) {
                requested.merge(model, 1, Integer::sum);
            }

            @Override
            public void queuedWithoutCopy(ModelId model, int count) {
                queuedWithoutCopy.put(model, count);
            }
        };
    }
}
