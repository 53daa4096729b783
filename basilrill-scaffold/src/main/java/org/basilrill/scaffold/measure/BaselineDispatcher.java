package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.coordination.admission.Dispatcher;
import org.basilrill.coordination.routing.HeldSlot;
import org.basilrill.coordination.routing.SlotResult;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.scaffold.virtual.VirtualTime;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Baseline dispatchers that serve the requests to each model in order of arrival. Targets are selected by the
 * {@link TargetRouter} or round robin. Requests to one model do not block requests to another. Not thread safe.
 */
final class BaselineDispatcher implements Dispatcher {
    private static final Duration RECHECK_INTERVAL = Duration.ofMillis(20);

    private final VirtualTime time;
    private final Function<Request, Optional<Assignment>> assigner;
    private final List<QueuedDispatch> queue = new ArrayList<>();
    private boolean wakeUpScheduled;
    private int roundRobinCounter;

    private BaselineDispatcher(
            VirtualTime time, Function<BaselineDispatcher, Function<Request, Optional<Assignment>>> assigner) {
        this.time = time;
        this.assigner = assigner.apply(this);
    }

    /** Returns a dispatcher in order of arrival that uses the slots and scores of the {@link TargetRouter}. */
    static BaselineDispatcher firstComeFirstServed(VirtualTime time, TargetDirectory directory, TargetRouter router) {
        return new BaselineDispatcher(
                time,
                dispatcher -> request -> router.acquire(
                                request.destination().model().orElseThrow().value(),
                                directory.readyFor(request.destination().model().orElseThrow()),
                                request.excludedTargets(),
                                request.prompt())
                        .map(slot -> dispatcher.routedAssignment(router, slot)));
    }

    /** Returns a dispatcher that sends each request immediately to the next ready target, round robin. */
    static BaselineDispatcher roundRobin(VirtualTime time, TargetDirectory directory) {
        return new BaselineDispatcher(time, dispatcher -> request -> {
            List<TargetAnnouncement> ready =
                    List.copyOf(directory.readyFor(request.destination().model().orElseThrow()));
            if (ready.isEmpty()) {
                return Optional.empty();
            }
            dispatcher.roundRobinCounter++;
            return Optional.of(
                    dispatcher.assignment(ready.get(dispatcher.roundRobinCounter % ready.size()), result -> {}));
        });
    }

    @Override
    public CompletableFuture<Assignment> dispatch(Request request) {
        CompletableFuture<Assignment> future = new CompletableFuture<>();
        queue.add(new QueuedDispatch(request, future));
        assignQueued();
        return future;
    }

    private void assignQueued() {
        Set<Destination> blocked = new HashSet<>();
        List<Runnable> completions = new ArrayList<>();
        Iterator<QueuedDispatch> entries = queue.iterator();
        while (entries.hasNext()) {
            QueuedDispatch queued = entries.next();
            if (queued.request().deadlineNanos() <= time.nanos()) {
                entries.remove();
                completions.add(() -> queued.future()
                        .completeExceptionally(new BasilrillException(
                                ErrorCode.DEADLINE_UNREACHABLE, "no slot became free before the deadline")));
                continue;
            }
            if (blocked.contains(queued.request().destination())) {
                continue;
            }
            Optional<Assignment> assignment = assigner.apply(queued.request());
            if (assignment.isEmpty()) {
                blocked.add(queued.request().destination());
                continue;
            }
            entries.remove();
            completions.add(() -> queued.future().complete(assignment.get()));
        }
        completions.forEach(Runnable::run);
        if (!queue.isEmpty() && !wakeUpScheduled) {
            wakeUpScheduled = true;
            time.schedule(RECHECK_INTERVAL, () -> {
                wakeUpScheduled = false;
                assignQueued();
            });
        }
    }

    private Assignment routedAssignment(TargetRouter router, HeldSlot slot) {
        return assignment(slot.target(), result -> router.release(slot, SlotResult.valueOf(result.name())));
    }

    private Assignment assignment(TargetAnnouncement target, Consumer<AttemptResult> onRelease) {
        return new Assignment() {
            @Override
            public TargetAnnouncement target() {
                return target;
            }

            @Override
            public void release(AttemptResult result) {
                onRelease.accept(result);
                assignQueued();
            }
        };
    }

    /** A request in the queue. */
    private record QueuedDispatch(Request request, CompletableFuture<Assignment> future) {}
}
