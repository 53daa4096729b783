package org.basilrill.coordination.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.SuspectId;
import org.basilrill.state.control.ControlCommand.SuspectAnswer;

/**
 * Remembers for recent requests and prompt parts when a request with them that got a response at this instance was last
 * sent. Not thread safe.
 */
final class SuspectAnswers {
    /** Per kind. More than the shared parts, or the repeated requests, that one instance sees between two crashes. */
    private static final int MAXIMUM_SUSPECTS = 4096;

    private final MonotonicClock clock;
    /** Times by kind and suspect, so that single requests do not displace prompt parts; oldest first. */
    private final Map<Class<? extends SuspectId>, LinkedHashMap<SuspectId, SentTimes>> timesByKind = new HashMap<>();

    SuspectAnswers(MonotonicClock clock) {
        this.clock = clock;
    }

    /**
     * Records a response.
     *
     * @param sentNanos time from which on a crash cannot be that of a suspect of the request
     */
    void add(Collection<? extends SuspectId> suspects, long sentNanos, Optional<String> softwareVersion) {
        for (SuspectId suspect : suspects) {
            LinkedHashMap<SuspectId, SentTimes> times = ofKind(suspect);
            SentTimes known = Optional.ofNullable(times.remove(suspect)).orElse(SentTimes.NONE);
            times.put(suspect, known.with(softwareVersion, sentNanos));
            if (times.size() > MAXIMUM_SUSPECTS) {
                times.remove(times.keySet().iterator().next());
            }
        }
    }

    /** Returns the answers of these suspects, one for each software version. */
    List<SuspectAnswer> of(Collection<SuspectId> suspects) {
        return suspects.stream().distinct().flatMap(this::of).toList();
    }

    /** Returns the answers of these suspects that no earlier call has returned. */
    List<SuspectAnswer> takeUnreported(Collection<SuspectId> suspects) {
        List<SuspectAnswer> taken = of(suspects);
        taken.forEach(answer -> ofKind(answer.suspect()).remove(answer.suspect()));
        return taken;
    }

    private Stream<SuspectAnswer> of(SuspectId suspect) {
        SentTimes times = ofKind(suspect).getOrDefault(suspect, SentTimes.NONE);
        return times.nanosByVersion().entrySet().stream()
                .map(entry -> new SuspectAnswer(
                        suspect, TimeUnit.NANOSECONDS.toMillis(clock.nanos() - entry.getValue()), entry.getKey()));
    }

    private LinkedHashMap<SuspectId, SentTimes> ofKind(SuspectId suspect) {
        return timesByKind.computeIfAbsent(suspect.getClass(), unused -> new LinkedHashMap<>());
    }

    /** When the last request that got a response was sent, by software version of the target. */
    private record SentTimes(Map<Optional<String>, Long> nanosByVersion) {
        private static final SentTimes NONE = new SentTimes(Map.of());

        SentTimes with(Optional<String> version, long nanos) {
            Map<Optional<String>, Long> next = new HashMap<>(nanosByVersion);
            next.merge(version, nanos, Math::max);
            return new SentTimes(Map.copyOf(next));
        }
    }
}
