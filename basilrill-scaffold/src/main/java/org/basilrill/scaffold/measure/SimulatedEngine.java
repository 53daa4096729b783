package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Queue;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.routing.CacheEvent;
import org.basilrill.scaffold.measure.Workload.Arrival;
import org.basilrill.scaffold.virtual.VirtualTime;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/**
 * An engine that runs a fixed number of requests at once, keeps a few more waiting and refuses the rest as full. The
 * prompt takes less time the more of it is cached. Not thread safe.
 */
final class SimulatedEngine {
    static final int SLOTS = 8;

    private static final int WAITING_LIMIT = 4;
    private static final Duration SHORTEST_PROMPT = Duration.ofMillis(40);
    private static final Duration UNCACHED_PROMPT = Duration.ofMillis(120);
    private static final Duration PER_OUTPUT_TOKEN = Duration.ofMillis(15);
    private static final int CACHED_BLOCKS = 400;

    private final VirtualTime time;
    private final TargetAnnouncement first;
    private final Queue<Job> waiting = new ArrayDeque<>();
    private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Long> stored = new ArrayList<>();
    private final List<Long> evicted = new ArrayList<>();
    private int running;
    private long sequence;
    private long eventSequence;

    SimulatedEngine(VirtualTime time, String id, String dataCentre, Set<Integer> models) {
        this.time = time;
        Map<ModelId, LoadedModel> contents =
                models.stream().collect(Collectors.toMap(SimulatedEngine::model, model -> new LoadedModel(1, 1, true)));
        this.first = new TargetAnnouncement(
                new TargetId(id),
                1,
                0,
                "127.0.0.1",
                1,
                dataCentre,
                Optional.empty(),
                Duration.ofSeconds(2).toMillis(),
                1,
                contents,
                Set.of(),
                SLOTS,
                new TargetAnnouncement.Load(0, 0),
                true,
                false);
    }

    static ModelId model(int number) {
        return new ModelId("model-" + number);
    }

    TargetId id() {
        return first.id();
    }

    /** Returns the announcement with the load of this moment. */
    TargetAnnouncement announcement() {
        sequence++;
        return new TargetAnnouncement(
                first.id(),
                1,
                sequence,
                first.host(),
                first.port(),
                first.dataCentre(),
                first.service(),
                first.timeToLiveMillis(),
                first.memoryBytes(),
                first.contents(),
                first.roles(),
                first.slots(),
                new TargetAnnouncement.Load(running, waiting.size()),
                true,
                false);
    }

    /** Returns what changed in the prefix cache since the last event. */
    CacheEvent cacheEvent() {
        eventSequence++;
        CacheEvent event = new CacheEvent(first.id(), 1, eventSequence, stored, evicted);
        stored.clear();
        evicted.clear();
        return event;
    }

    /** Takes a request, or returns false if the engine is full. */
    boolean offer(Arrival arrival, Runnable firstToken, Runnable finished) {
        Job job = new Job(arrival, firstToken, finished);
        if (running < SLOTS) {
            start(job);
            return true;
        }
        if (waiting.size() >= WAITING_LIMIT) {
            return false;
        }
        waiting.add(job);
        return true;
    }

    private void start(Job job) {
        running++;
        List<Long> prefixes = job.arrival().prefixHashes();
        long cachedBlocks = IntStream.range(0, prefixes.size())
                .filter(index -> cache.containsKey(prefixes.get(index)))
                .count();
        double uncached = 1 - cachedBlocks / (double) prefixes.size();
        prefixes.forEach(this::store);
        long promptNanos = SHORTEST_PROMPT.toNanos() + (long) (uncached * UNCACHED_PROMPT.toNanos());
        long outputNanos = PER_OUTPUT_TOKEN.toNanos() * job.arrival().outputTokens();
        time.schedule(Duration.ofNanos(promptNanos), job.firstToken());
        time.schedule(Duration.ofNanos(promptNanos + outputNanos), () -> finish(job));
    }

    private void finish(Job job) {
        running--;
        job.finished().run();
        if (!waiting.isEmpty()) {
            start(waiting.poll());
        }
    }

    private void store(Long block) {
        if (cache.put(block, true) == null) {
            stored.add(block);
        }
        if (cache.size() > CACHED_BLOCKS) {
            Long eldest = cache.keySet().iterator().next();
            cache.remove(eldest);
            evicted.add(eldest);
        }
    }

    /** A request with what to do at its first token and at its end. */
    private record Job(Arrival arrival, Runnable firstToken, Runnable finished) {}
}
