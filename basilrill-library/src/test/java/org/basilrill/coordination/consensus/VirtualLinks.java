package org.basilrill.coordination.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;
import org.basilrill.api.InstanceId;

/** Links that carry the messages of an instance one after another once their rate is limited. Not thread safe. */
final class VirtualLinks {
    private static final long MILLISECOND = 1_000_000;

    private final Map<InstanceId, Long> idleAt = new HashMap<>();
    private OptionalLong bytesPerMillisecond = OptionalLong.empty();
    private long sentBytes;

    void limit(long rate) {
        bytesPerMillisecond = OptionalLong.of(rate);
    }

    /** Returns the bytes of all messages that were sent. */
    long sentBytes() {
        return sentBytes;
    }

    /** Counts a message and returns when it arrives, in nanoseconds; empty if the rate is not limited. */
    OptionalLong send(InstanceId sender, int bytes, long now) {
        sentBytes += bytes;
        if (bytesPerMillisecond.isEmpty()) {
            return OptionalLong.empty();
        }
        long startsAt = Math.max(now, idleAt.getOrDefault(sender, now));
        long endsAt = startsAt + bytes * MILLISECOND / bytesPerMillisecond.getAsLong();
        idleAt.put(sender, endsAt);
        return OptionalLong.of(endsAt + MILLISECOND);
    }
}
