package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.function.DoubleUnaryOperator;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.routing.CacheEvent;
import org.basilrill.coordination.routing.Prompt;
import org.basilrill.scaffold.measure.Workload.Arrival;
import org.basilrill.scaffold.virtual.VirtualTime;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/**
 * An engine that runs its requests in one batch on virtual time. Each step reads part of the prompts and gives each
 * stream a token, so that prompts that are read delay all streams. States its load and pace with the first event. If
 * the tokens of the requests exceed its memory, the newest request loses its progress. Not thread safe.
 */
final class BatchEngine implements SimulatedTarget {
    static final int TOKENS_PER_EVENT = 5;

    private static final int QUEUE_CAPACITY = 16;
    private static final double STEP_MILLIS = 5;
    private static final double STEP_MILLIS_PER_STREAM = 0.1;
    private static final double TOKENS_PER_MILLI = 40;
    private static final double TOKENS_PER_STEP = 4_096;
    private static final int CACHED_PREFIXES = 64;

    private final VirtualTime time;
    private final TargetAnnouncement initial;
    private final Setup setup;
    private final PriorityQueue<Job> unread =
            new PriorityQueue<>(Comparator.comparingInt(Job::priority).thenComparingLong(Job::number));
    private final List<Job> streams = new ArrayList<>();
    private final Set<Long> cache = new LinkedHashSet<>();
    private long sequence;
    private long eventSequence;
    private long jobs;
    private boolean stepping;
    private int preemptions;

    BatchEngine(VirtualTime time, String id, String dataCentre, Setup setup) {
        this.time = time;
        this.setup = setup;
        this.initial = new TargetAnnouncement(
                new TargetId(id),
                1,
                0,
                "127.0.0.1",
                1,
                dataCentre,
                Optional.of("engines"),
                Duration.ofSeconds(5).toMillis(),
                1,
                Map.of(SimulatedEngine.modelId(0), new LoadedModel(1, 1, true)),
                Set.of(),
                setup.slots(),
                new TargetAnnouncement.Load(0, 0),
                true,
                false,
                Optional.empty(),
                0);
    }

    @Override
    public TargetId id() {
        return initial.id();
    }

    @Override
    public long memoryTokens() {
        return setup.memoryTokens();
    }

    @Override
    public TargetAnnouncement announcement() {
        return initial.withSequence(++sequence);
    }

    @Override
    public CacheEvent cacheEvent() {
        return new CacheEvent(id(), 1, ++eventSequence, List.of(), List.of());
    }

    @Override
    public boolean offer(Arrival arrival, int priority, Progress progress) {
        if (requests() >= setup.slots() + QUEUE_CAPACITY) {
            return false;
        }
        unread.add(new Job(++jobs, arrival, priority, progress, uncachedTokens(arrival.prompt())));
        if (!stepping) {
            step();
        }
        return true;
    }

    int requests() {
        return unread.size() + streams.size();
    }

    long offeredRequests() {
        return jobs;
    }

    int preemptions() {
        return preemptions;
    }

    private double uncachedTokens(Prompt prompt) {
        int shared = prompt.sharedParts();
        boolean cached = shared > 0 && !cache.add(prompt.prefixHashes().get(shared - 1));
        if (cache.size() > CACHED_PREFIXES) {
            cache.remove(cache.iterator().next());
        }
        return prompt.tokens() - (cached ? prompt.tokensOfFirstParts(shared) : 0);
    }

    private double slowdown() {
        return setup.slowdown().applyAsDouble(time.nanos() / 1e6);
    }

    private void step() {
        stepping = requests() > 0;
        if (!stepping) {
            return;
        }
        double read = 0;
        List<Job> started = new ArrayList<>();
        while (!unread.isEmpty() && read < TOKENS_PER_STEP && streams.size() + started.size() < setup.slots()) {
            Job job = unread.peek();
            double part = Math.min(job.unreadTokens, TOKENS_PER_STEP - read);
            job.unreadTokens -= part;
            read += part;
            if (job.unreadTokens <= 0) {
                started.add(unread.poll());
            }
        }
        double millis = STEP_MILLIS + STEP_MILLIS_PER_STREAM * streams.size() + read / TOKENS_PER_MILLI;
        time.schedule(Duration.ofNanos((long) (millis * slowdown() * setup.relativeTime() * 1e6)), () -> {
            List.copyOf(streams).forEach(this::token);
            started.forEach(this::start);
            preemptForMemory();
            step();
        });
    }

    private void start(Job job) {
        streams.add(job);
        job.lastEventNanos = time.nanos();
        if (!job.started) {
            job.started = true;
            job.progress.firstEvent(
                    Optional.of(new TargetAnnouncement.Load(streams.size(), unread.size(), Optional.of(slowdown()))));
        }
    }

    private void token(Job job) {
        job.outputTokens++;
        boolean last = job.outputTokens >= job.arrival.outputTokens();
        if (!last && job.outputTokens % TOKENS_PER_EVENT != 0) {
            return;
        }
        job.longestPauseNanos = Math.max(job.longestPauseNanos, time.nanos() - job.lastEventNanos);
        job.lastEventNanos = time.nanos();
        if (last) {
            streams.remove(job);
            job.progress.finished(job.longestPauseNanos);
        }
    }

    private void preemptForMemory() {
        while (streams.size() > 1 && streams.stream().mapToLong(Job::tokens).sum() > setup.memoryTokens()) {
            Job newest = streams.remove(streams.size() - 1);
            newest.unreadTokens = newest.tokens();
            unread.add(newest);
            preemptions++;
        }
    }

    /**
     * Properties of an engine.
     *
     * @param relativeTime time of its work as a multiple of that of a usual engine
     * @param slowdown what multiplies the time of work at a time in milliseconds; stated as pace
     */
    record Setup(int slots, double relativeTime, long memoryTokens, DoubleUnaryOperator slowdown) {
        static Setup usual() {
            return new Setup(32, 1, 200_000, millis -> 1);
        }
    }

    /** A request at the engine. */
    private static final class Job {
        private final long number;
        private final Arrival arrival;
        private final int priority;
        private final Progress progress;
        private double unreadTokens;
        private int outputTokens;
        private boolean started;
        private long lastEventNanos;
        private long longestPauseNanos;

        Job(long number, Arrival arrival, int priority, Progress progress, double unreadTokens) {
            this.number = number;
            this.arrival = arrival;
            this.priority = priority;
            this.progress = progress;
            this.unreadTokens = unreadTokens;
        }

        long number() {
            return number;
        }

        int priority() {
            return priority;
        }

        long tokens() {
            return arrival.promptTokens() + outputTokens;
        }
    }
}
