package org.basilrill.coordination.stream;

import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.MonotonicClock;
import org.basilrill.state.control.ControlCommand.StreamRecord;

/** Remembers which software versions began the recent streams of this instance. Not thread safe. */
final class RecentStreams {
    /** Longer than the callers of streams wait for them. */
    private static final Duration RETENTION = Duration.ofMinutes(10);

    private static final int MAXIMUM_STREAMS = 8192;

    private final MonotonicClock clock;
    /** By the id of the request that brought the first event, oldest first. */
    private final LinkedHashMap<String, Stream> streams = new LinkedHashMap<>();

    RecentStreams(MonotonicClock clock) {
        this.clock = clock;
    }

    void add(StreamRecord record) {
        long now = clock.nanos();
        streams.putIfAbsent(record.requestId(), new Stream(record, now));
        while (streams.size() > MAXIMUM_STREAMS
                || now - streams.values().iterator().next().beganNanos() > RETENTION.toNanos()) {
            streams.remove(streams.keySet().iterator().next());
        }
    }

    Optional<StreamRecord> find(String firstRequestId) {
        return Optional.ofNullable(streams.get(firstRequestId)).map(Stream::record);
    }

    List<StreamRecord> ofServices(Set<String> services) {
        return streams.values().stream()
                .map(Stream::record)
                .filter(record -> services.contains(record.service()))
                .toList();
    }

    /** A stream and when it began. */
    private record Stream(StreamRecord record, long beganNanos) {}
}
