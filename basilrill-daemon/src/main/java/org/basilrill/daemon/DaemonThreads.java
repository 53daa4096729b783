package org.basilrill.daemon;

import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadFactory;
import java.util.concurrent.atomic.AtomicInteger;
import org.basilrill.transport.threads.ExecutorScheduler;

/** The thread pools of one daemon. Thread safe. */
final class DaemonThreads implements AutoCloseable {
    /** Tasks of the scheduler are short and never block, so a few threads are enough for a small instance. */
    private static final int DECISION_THREADS = 4;

    /** Two, so that decoding a large message does not delay the small messages of the control log. */
    private static final int PEER_THREADS = 2;

    private final ScheduledThreadPoolExecutor timer = createTimer();
    private final ExecutorService decisions =
            Executors.newFixedThreadPool(DECISION_THREADS, daemonThreadFactory("decision"));
    /** Handles messages from other instances; separate, so that requests of callers do not delay them. */
    private final ExecutorService peers = Executors.newFixedThreadPool(PEER_THREADS, daemonThreadFactory("peer"));

    /** Returns a scheduler that runs its tasks on the decision threads. */
    ExecutorScheduler scheduler() {
        return new ExecutorScheduler(timer, decisions);
    }

    ExecutorService peers() {
        return peers;
    }

    /** Returns the number of timers that are scheduled and not cancelled. */
    int scheduledTimers() {
        return timer.getQueue().size();
    }

    @Override
    public void close() {
        timer.shutdownNow();
        decisions.shutdown();
        peers.shutdown();
    }

    /**
     * Creates a timer that removes cancelled tasks at once. When they were kept until due, the cancelled deadlines of
     * 30 s of requests filled the heap.
     */
    private static ScheduledThreadPoolExecutor createTimer() {
        ScheduledThreadPoolExecutor executor = new ScheduledThreadPoolExecutor(1, daemonThreadFactory("timer"));
        executor.setRemoveOnCancelPolicy(true);
        return executor;
    }

    private static ThreadFactory daemonThreadFactory(String prefix) {
        AtomicInteger count = new AtomicInteger();
        return task -> {
            Thread thread = new Thread(task, prefix + "-" + count.incrementAndGet());
            thread.setDaemon(true);
            return thread;
        };
    }
}
