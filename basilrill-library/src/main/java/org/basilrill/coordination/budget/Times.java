package org.basilrill.coordination.budget;

import java.util.Optional;

/** Compares times of a monotonic clock, whose origin is arbitrary and which may overflow. Stateless. */
final class Times {
    private Times() {}

    static long earlier(long first, long second) {
        return first - second <= 0 ? first : second;
    }

    static Optional<Long> earlier(Optional<Long> first, long second) {
        return Optional.of(first.map(time -> earlier(time, second)).orElse(second));
    }

    static Optional<Long> earlier(Optional<Long> first, Optional<Long> second) {
        return second.isEmpty() ? first : earlier(first, second.get());
    }
}
