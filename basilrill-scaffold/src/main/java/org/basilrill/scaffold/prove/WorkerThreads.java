package org.basilrill.scaffold.prove;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.concurrent.atomic.AtomicReference;

/** Repeats the same work on several threads until it is stopped. Thread safe. */
final class Crowd implements AutoCloseable {
    private final List<Thread> threads = new ArrayList<>();
    private final AtomicReference<Exception> failure = new AtomicReference<>();
    private volatile boolean stopping;

    /** Makes the work of one thread. */
    interface WorkFactory {
        /** Returns the work; the random source belongs to the thread. */
        Work create(int thread, Random random) throws Exception;
    }

    /** Work that is repeated. */
    interface Work {
        /** Does the work once; the count starts at 0. */
        void step(int count) throws Exception;
    }

    Crowd(int size, Random random, WorkFactory factory) {
        for (int index = 0; index < size; index++) {
            int number = index;
            Random own = new Random(random.nextLong());
            Thread thread = new Thread(() -> repeat(factory, number, own), "crowd-" + number);
            thread.setDaemon(true);
            threads.add(thread);
        }
        threads.forEach(Thread::start);
    }

    /** Lets the steps in progress end, and passes on the first failure. */
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
