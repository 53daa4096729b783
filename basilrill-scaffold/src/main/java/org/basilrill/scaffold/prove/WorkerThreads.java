package org.basilrill.scaffold.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

/** Runs the same work repeatedly on several threads until stopped. Thread safe. */
final class WorkerThreads implements AutoCloseable {
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicReference<Exception> failure = new AtomicReference<>();
    private volatile boolean stopping;

    /** Creates the work of each thread. */
    interface WorkFactory {
        /** Returns the work of a thread; the random source is not shared with other threads. */
        Work create(int thread, Random random) throws Exception;
    }

    /** Work that is run repeatedly. */
    interface Work {
        /** Runs the work once; the count of earlier runs starts at 0. */
        void step(int count) throws Exception;
    }

    WorkerThreads(int size, Random random, WorkFactory factory) {
        for (int index = 0; index < size; index++) {
            int number = index;
            Random own = new Random(random.nextLong());
            Thread thread = new Thread(() -> repeat(factory, number, own), "crowd-" + number);
            thread.setDaemon(true);
            threads.add(thread);
        }
        threads.forEach(Thread::start);
    }

    /** Waits for the steps in progress, then throws the first failure of any thread. */
    void stop() throws Exception {
        stopping = true;
        for (Thread thread : threads) {
            thread.join();
        }
        if (failure.get() != null) {
            throw failure.get();
        }
    }

    @Override
    public void close() {
        stopping = true;
    }

    private void repeat(WorkFactory factory, int number, Random random) {
        try {
            Work work = factory.create(number, random);
            for (int count = 0; !stopping; count++) {
                work.step(count);
            }
        } catch (Exception exception) {
            failure.compareAndSet(null, exception);
        }
    }
}
