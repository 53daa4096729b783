package org.basilrill.transport.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/** Limits the total size of the request bodies that are buffered in memory. Thread safe. */
final class BodyMemoryLimiter {
    /** Most requests, and with them the memory of their bodies, are finished within one or two seconds. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final long limitBytes;
    private final AtomicLong reservedBytes = new AtomicLong();

    BodyMemoryLimiter(long limitBytes) {
        this.limitBytes = limitBytes;
    }

    /**
     * Reserves bytes.
     *
     * @throws BasilrillException with {@code INSTANCE_OVERLOADED} if the limit would be exceeded; then nothing is
     *     reserved
     */
    void reserve(int bytes) {
        if (reservedBytes.addAndGet(bytes) > limitBytes) {
            reservedBytes.addAndGet(-bytes);
            throw new BasilrillException(
                            ErrorCode.INSTANCE_OVERLOADED, "this instance buffers too many bytes of request bodies")
                    .withRetryAfter(RETRY_DELAY);
        }
    }

    void release(long bytes) {
        reservedBytes.addAndGet(-bytes);
    }
}
