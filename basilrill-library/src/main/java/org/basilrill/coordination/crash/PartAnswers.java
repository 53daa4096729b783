package org.basilrill.coordination.crash;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PromptPartId;
import org.basilrill.state.control.ControlCommand.PartAnswer;

/**
 * Remembers for recently requested prompt parts when a response to one of their requests last began at this instance.
 * Not thread safe.
 */
final class PartAnswers {
    /** More than the shared parts that one instance usually sees between a crash and its report. */
    private static final int MAXIMUM_PARTS = 4096;

    private final MonotonicClock clock;
    /** Ordered by the time of the answer, oldest first. */
    private final LinkedHashMap<PromptPartId, Answer> answers = new LinkedHashMap<>();

    PartAnswers(MonotonicClock clock) {
        this.clock = clock;
    }

    void add(List<PromptPartId> parts) {
        Answer answer = new Answer(clock.nanos());
        for (PromptPartId part : parts) {
            answers.remove(part);
            answers.put(part, answer);
        }
        while (answers.size() > MAXIMUM_PARTS) {
            answers.remove(answers.keySet().iterator().next());
        }
    }

    /** Returns the answers of these parts that no earlier call has returned. */
    List<PartAnswer> takeUnreported(Collection<PromptPartId> parts) {
        return parts.stream()
                .filter(answers::containsKey)
                .map(part -> Map.entry(part, answers.remove(part)))
                .map(entry -> new PartAnswer(
                        entry.getKey(),
                        TimeUnit.NANOSECONDS.toMillis(
                                clock.nanos() - entry.getValue().nanos())))
                .toList();
    }

    /** A response that began at this time. */
    private record Answer(long nanos) {}
}
