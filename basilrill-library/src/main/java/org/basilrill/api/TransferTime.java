package org.basilrill.api;

import java.time.Duration;

/**
 * Time that a message takes on the links between instances while these are busy. A timeout of a response includes it,
 * because copies of a message that is still on its way would delay it further. Stateless and thread safe.
 */
public final class TransferTime {
    private static final long MINIMUM_BYTES_PER_SECOND = 1_000_000;

    private TransferTime() {}

    /** Returns the time for a number of bytes. */
    public static Duration of(long bytes) {
        return Duration.ofNanos(bytes * Duration.ofSeconds(1).toNanos() / MINIMUM_BYTES_PER_SECOND);
    }
}
