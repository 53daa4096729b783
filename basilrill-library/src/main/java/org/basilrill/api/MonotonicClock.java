package org.basilrill.api;

/** Supplies monotonic time. Implementations are thread safe. Tests supply a virtual clock. */
@FunctionalInterface
public interface MonotonicClock {
    /** Returns nanoseconds since an arbitrary origin; never decreases within one process. */
    long nanos();
}
