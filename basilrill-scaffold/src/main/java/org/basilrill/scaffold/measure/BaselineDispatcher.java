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
 * The baselines: requests are served in the order they came, by the same router as ours or by the ready targets in
 * turn. Requests to different models do not hold each other up. Not thread safe.
 */
final class BaselineDispatcher implements Dispatcher {
    private static final Duration RECHECK = Duration.ofMillis(20);

    private final VirtualTime time;
    private final Function<Request, Optional<Assignment>> assigner;
    private final List<Waiting> queue = new ArrayList<>();
    private boolean wakeUpScheduled;
    private int turn;

    private BaselineDispatcher(
            VirtualTime time, Function<BaselineDispatcher, Function<Request, Optional<Assignment>>> assigner) {
        this.time = time;
        this.assigner = assigner.apply(this);
    }

    /** Serves in order of arrival, with the slots and scores of our router. */
    static BaselineDispatcher firstComeFirstServed(VirtualTime time, TargetDirectory directory, TargetRouter router) {
        return new BaselineDispatcher(
                time,
                dispatcher -> request -> router.acquire(
                                request.destination().model().orElseThrow().value(),
                                directory.readyFor(request.destination().model().orElseThrow()),
                                request.excludedTargets(),
                                request.prompt())
                        .map(slot -> dispatcher.routed(router, slot)));
    }

    /** Sends each request at once to the next ready target in turn. */
    static BaselineDispatcher roundRobin(VirtualTime time, TargetDirectory directory) {
        return new BaselineDispatcher(time, dispatcher -> request -> {
            List<TargetAnnouncement> ready =
                    List.copyOf(directory.readyFor(request.destination().model().orElseThrow()));
            if (ready.isEmpty()) {
                return Optional.empty();
            }
            dispatcher.turn++;
            return Optional.of(dispatcher.assignment(ready.get(dispatcher.turn % ready.size()), result -> {}));
        });
    }

    @Override
    public CompletableFuture<Assignment> dispatch(Request request) {
        CompletableFuture<Assignment> future = new CompletableFuture<>();
        queue.add(new Waiting(request, future));
        assignWaiting();
        return future;
    }

    private void assignWaiting() {
        Set<Destination> blocked = new HashSet<>();
        List<Runnable> completions = new ArrayList<>();
        Iterator<Waiting> entries = queue.iterator();
        while (entries.hasNext()) {
            Waiting waiting = entries.next();
            if (waiting.request().deadlineNanos() <= time.nanos()) {
                entries.remove();
                completions.add(() -> waiting.future()
                        .completeExceptionally(new BasilrillException(
                                ErrorCode.DEADLINE_UNREACHABLE, "no slot became free before the deadline")));
                continue;
            }
            if (blocked.contains(waiting.request().destination())) {
                continue;
            }
            Optional<Assignment> assignment = assigner.apply(waiting.request());
            if (assignment.isEmpty()) {
                blocked.add(waiting.request().destination());
                continue;
            }
            entries.remove();
            completions.add(() -> waiting.future().complete(assignment.get()));
        }
        completions.forEach(Runnable::run);
        if (!queue.isEmpty() && !wakeUpScheduled) {
            wakeUpScheduled = true;
            time.schedule(RECHECK, () -> {
                wakeUpScheduled = false;
                assignWaiting();
            });
        }
    }

    private Assignment routed(TargetRouter router, HeldSlot slot) {
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
                assignWaiting();
            }
        };
    }

    /** A request in the queue. */
    private record Waiting(Request request, CompletableFuture<Assignment> future) {}
}
