package org.basilrill.transport.http;

import java.time.Duration;
import java.util.concurrent.atomic.AtomicLong;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/** Counts the bytes of request bodies that are held, against a limit. Thread safe. */
final class HeldBodies {
    /** Most requests end within a second or two, which frees their bodies. */
    private static final Duration RETRY_DELAY = Duration.ofSeconds(1);

    private final long limit;
    private final AtomicLong held = new AtomicLong();

    HeldBodies(long limit) {
        this.limit = limit;
    }

    /**
     * Reserves bytes.
     *
     * @throws BasilrillException with {@code INSTANCE_OVERLOADED} if they do not fit; nothing is reserved then
     */
    void reserve(int bytes) {
        if (held.addAndGet(bytes) > limit) {
            held.addAndGet(-bytes);
            throw new BasilrillException(
                            ErrorCode.INSTANCE_OVERLOADED, "this instance holds too many bytes of requests")
                    .withRetryAfter(RETRY_DELAY);
        }
    }

    void release(long bytes) {
        held.addAndGet(-bytes);
    }
}
