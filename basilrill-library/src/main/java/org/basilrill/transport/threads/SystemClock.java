package org.basilrill.transport.threads;

import org.basilrill.api.MonotonicClock;

/** The monotonic clock of the operating system. Stateless and thread safe. */
public final class SystemClock implements MonotonicClock {
    @Override
    public long nanos() {
        return System.nanoTime();
    }
}
