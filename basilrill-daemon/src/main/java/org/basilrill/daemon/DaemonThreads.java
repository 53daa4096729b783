package org.basilrill.daemon;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilrill.transport.threads.ExecutorScheduler;

/** The threads of one daemon. Thread safe. */
final class DaemonThreads implements AutoCloseable {
    /** Decisions are short and never block, so a few threads suffice on a small instance. */
    private static final int DECISION_THREADS = 4;

    /** A handler that decodes a large message must not hold up the small ones of the control log. */
    private static final int PEER_THREADS = 2;

    private final ScheduledThreadPoolExecutor timer = createTimer();
    private final ExecutorService decisions = Executors.newFixedThreadPool(DECISION_THREADS, named("decision"));
    /** Messages from other instances have threads of their own, so that callers' requests do not delay them. */
    private final ExecutorService peers = Executors.newFixedThreadPool(PEER_THREADS, named("peer"));

    /** Returns a scheduler that runs its tasks on the decision threads. */
    ExecutorScheduler scheduler() {
        return new ExecutorScheduler(timer, decisions);
    }

    ExecutorService peers() {
        return peers;
    }

    /** Returns the number of timers that are set. */
    int timers() {
        return timer.getQueue().size();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        decisions.shutdown();
        peers.shutdown();
    }

    /** Cancelled timers are removed at once: kept until due, the deadlines of 30 s of requests filled the heap. */
    private static ScheduledThreadPoolExecutor createTimer() {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, named("timer"));
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }

    private static ThreadFactory named(String prefix) {
        AtomicInteger count = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, prefix + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
