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
 * An engine on virtual time. It runs up to {@link #SLOTS} requests concurrently, queues a few more and refuses the rest
 * as full. The prefill time of a prompt falls with the share of its blocks in the prefix cache. Not thread safe.
 */
final class SimulatedEngine implements SimulatedTarget {
    static final int SLOTS = 8;

    private static final int QUEUE_CAPACITY = 4;
    private static final Duration CACHED_PREFILL_TIME = Duration.ofMillis(40);
    private static final Duration UNCACHED_PREFILL_TIME = Duration.ofMillis(120);
    private static final Duration TIME_PER_OUTPUT_TOKEN = Duration.ofMillis(15);
    private static final int CACHE_CAPACITY_BLOCKS = 400;

    private final VirtualTime time;
    private final TargetAnnouncement initialAnnouncement;
    private final Queue<Job> queuedJobs = new ArrayDeque<>();
    private final Map<Long, Boolean> cache = new LinkedHashMap<>(16, 0.75f, true);
    private final List<Long> addedBlocks = new ArrayList<>();
    private final List<Long> evictedBlocks = new ArrayList<>();
    private int running;
    private long sequence;
    private long eventSequence;

    SimulatedEngine(VirtualTime time, String id, String dataCentre, Set<Integer> models) {
        this.time = time;
        Map<ModelId, LoadedModel> contents = models.stream()
                .collect(Collectors.toMap(SimulatedEngine::modelId, model -> new LoadedModel(1, 1, true)));
        this.initialAnnouncement = new TargetAnnouncement(
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
                false,
                Optional.empty(),
                0);
    }

    static ModelId modelId(int number) {
        return new ModelId("model-" + number);
    }

    @Override
    public TargetId id() {
        return initialAnnouncement.id();
    }

    /** Returns an announcement with the current load. */
    @Override
    public TargetAnnouncement announcement() {
        sequence++;
        return new TargetAnnouncement(
                initialAnnouncement.id(),
                1,
                sequence,
                initialAnnouncement.host(),
                initialAnnouncement.port(),
                initialAnnouncement.dataCentre(),
                initialAnnouncement.service(),
                initialAnnouncement.timeToLiveMillis(),
                initialAnnouncement.memoryBytes(),
                initialAnnouncement.contents(),
                initialAnnouncement.roles(),
                initialAnnouncement.slots(),
                new TargetAnnouncement.Load(running, queuedJobs.size()),
                true,
                false,
                Optional.empty(),
                0);
    }

    @Override
    public CacheEvent cacheEvent() {
        eventSequence++;
        CacheEvent event = new CacheEvent(initialAnnouncement.id(), 1, eventSequence, addedBlocks, evictedBlocks);
        addedBlocks.clear();
        evictedBlocks.clear();
        return event;
    }

    @Override
    public boolean offer(Arrival arrival, int priority, Progress progress) {
        Job job = new Job(arrival, () -> progress.firstEvent(Optional.empty()), () -> progress.finished(0));
        if (running < SLOTS) {
            start(job);
            return true;
        }
        if (queuedJobs.size() >= QUEUE_CAPACITY) {
            return false;
        }
        queuedJobs.add(job);
        return true;
    }

    private void start(Job job) {
        running++;
        List<Long> prefixes = job.arrival().prefixHashes();
        long cachedBlocks = IntStream.range(0, prefixes.size())
                .filter(index -> cache.containsKey(prefixes.get(index)))
                .count();
        double uncachedShare = 1 - cachedBlocks / (double) prefixes.size();
        prefixes.forEach(this::addToCache);
        long promptNanos = CACHED_PREFILL_TIME.toNanos() + (long) (uncachedShare * UNCACHED_PREFILL_TIME.toNanos());
        long outputNanos = TIME_PER_OUTPUT_TOKEN.toNanos() * job.arrival().outputTokens();
        time.schedule(Duration.ofNanos(promptNanos), job.firstToken());
        time.schedule(Duration.ofNanos(promptNanos + outputNanos), () -> finish(job));
    }

    private void finish(Job job) {
        running--;
        job.finished().run();
        if (!queuedJobs.isEmpty()) {
            start(queuedJobs.poll());
        }
    }

    private void addToCache(Long block) {
        if (cache.put(block, true) == null) {
            addedBlocks.add(block);
        }
        if (cache.size() > CACHE_CAPACITY_BLOCKS) {
            Long eldest = cache.keySet().iterator().next();
            cache.remove(eldest);
            evictedBlocks.add(eldest);
        }
    }

    /** A request with callbacks for its first token and its end. */
    private record Job(Arrival arrival, Runnable firstToken, Runnable finished) {}
}
