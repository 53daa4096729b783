package org.basilrill.state.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.PromptPartId;
import org.basilrill.state.control.ControlCommand.ReleasePart;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlCommand.ReportPartAnswers;
import org.basilrill.state.control.ControlCommand.RequestPartTrial;
import org.basilrill.state.control.PartEvidence.CrashId;
import org.basilrill.thrift.control.PartSuspectState;

/**
 * Decides which parts of prompts crash the targets that respond to them. A crash counts against every part of the
 * requests that waited for a response at the target. A response that begins later clears each of its parts, so only a
 * part that never gets a response remains. Targets that are lost together, such as those of a rack, count as one
 * independent crash, because no request was sent between them. A part is not blocked if other blocked parts were at all
 * of its crashes. Not thread safe.
 */
final class PartSuspects {
    /** Limits the size of the state and of the view, as every request at a crashed target reports its parts. */
    private static final int MAXIMUM_PARTS = 512;

    private static final long RETENTION_MILLIS = Duration.ofHours(24).toMillis();

    /** A part that is not blocked is dropped after this time without another crash. */
    private static final long SUSPICION_MILLIS = Duration.ofMinutes(10).toMillis();

    /** Evidence by part, ordered by its last change, oldest first. */
    private final LinkedHashMap<PromptPartId, PartEvidence> suspects = new LinkedHashMap<>();

    /** Group number by blocked part; the parts of a group have the same crashes. */
    private final Map<PromptPartId, Integer> blocked = new HashMap<>();

    /**
     * Counts a crash against the reported parts; returns those because of which the request is refused: the blocked
     * ones whose whole group it contains.
     */
    List<PromptPartId> report(ReportCrash command, long nowMillis) {
        for (PromptPartId part : command.promptParts()) {
            PartEvidence known = suspects.getOrDefault(part, PartEvidence.none(nowMillis));
            PartEvidence counted = known.withCrash(command, nowMillis);
            if (counted != known) {
                replace(part, counted);
            }
        }
        dropExcess();
        updateBlocked();
        Set<Integer> incomplete = blocked.entrySet().stream()
                .filter(entry -> !command.promptParts().contains(entry.getKey()))
                .map(Map.Entry::getValue)
                .collect(Collectors.toUnmodifiableSet());
        return command.promptParts().stream()
                .filter(part -> blocked.containsKey(part) && !incomplete.contains(blocked.get(part)))
                .toList();
    }

    /** Discards the crashes that precede the reported responses. */
    void answered(ReportPartAnswers command, long nowMillis) {
        command.answers()
                .forEach(answer -> Optional.ofNullable(suspects.get(answer.part()))
                        .map(evidence -> evidence.withoutCrashesBefore(nowMillis - answer.ageMillis()))
                        .ifPresent(evidence -> replace(answer.part(), evidence)));
        suspects.values().removeIf(evidence -> evidence.crashes().isEmpty());
        updateBlocked();
    }

    /** Grants one request with the group of a part whose block has lasted long enough; the next block is longer. */
    ControlResult requestTrial(RequestPartTrial command, long nowMillis) {
        PromptPartId part = command.part();
        if (!blocked.containsKey(part) || nowMillis < suspects.get(part).trialMillis()) {
            return new ControlResult.Refused(ErrorCode.CRASH_SUSPECT, "no trial of the prompt part is due");
        }
        int group = blocked.get(part);
        List<PromptPartId> tried = blocked.keySet().stream()
                .filter(other -> blocked.get(other) == group)
                .sorted(Comparator.comparing(PromptPartId::toString))
                .toList();
        tried.forEach(other -> replace(other, suspects.get(other).afterTrial(nowMillis)));
        return new ControlResult.Done();
    }

    ControlResult release(ReleasePart command) {
        if (suspects.remove(command.part()) == null) {
            return new ControlResult.Refused(ErrorCode.NOT_FOUND, "the prompt part is not suspected");
        }
        updateBlocked();
        return new ControlResult.Done();
    }

    /** Drops suspects without a recent crash; returns whether any was dropped. */
    boolean expire(long nowMillis) {
        boolean dropped = suspects.entrySet()
                .removeIf(entry -> nowMillis - entry.getValue().changedMillis()
                        > (blocked.containsKey(entry.getKey()) ? RETENTION_MILLIS : SUSPICION_MILLIS));
        if (dropped) {
            updateBlocked();
        }
        return dropped;
    }

    List<SuspectPart> view() {
        return suspects.entrySet().stream()
                .map(entry -> new SuspectPart(
                        entry.getKey(),
                        entry.getValue().crashes().size(),
                        blocked.containsKey(entry.getKey())
                                ? Optional.of(entry.getValue().block())
                                : Optional.empty(),
                        blocked.getOrDefault(entry.getKey(), 0)))
                .toList();
    }

    List<PartSuspectState> state() {
        return suspects.entrySet().stream()
                .map(entry -> entry.getValue().state(entry.getKey()))
                .toList();
    }

    void restore(List<PartSuspectState> state) {
        suspects.clear();
        state.forEach(suspect -> suspects.put(WireEnums.fromWire(suspect.getPart()), PartEvidence.of(suspect)));
        updateBlocked();
    }

    private void replace(PromptPartId part, PartEvidence evidence) {
        suspects.remove(part);
        suspects.put(part, evidence);
    }

    /** Drops the parts with the fewest crashes first, so that new parts cannot displace a blocked one. */
    private void dropExcess() {
        while (suspects.size() > MAXIMUM_PARTS) {
            PromptPartId weakest = suspects.entrySet().stream()
                    .min(Comparator.comparingInt(
                            entry -> entry.getValue().crashes().size()))
                    .map(Map.Entry::getKey)
                    .orElseThrow();
            suspects.remove(weakest);
        }
    }

    /**
     * Blocks the parts with sufficient evidence, except those that the other ones explain. Parts with the same crashes
     * cannot be told apart and form a group. Only requests with the whole group are refused: when the shared system
     * prompt was blocked with the part that crashes targets, no request of its kind was served.
     */
    private void updateBlocked() {
        blocked.clear();
        int groupCount = 0;
        Map<Set<CrashId>, List<PromptPartId>> groups = new LinkedHashMap<>();
        suspects.forEach((part, evidence) -> {
            if (evidence.suffices()) {
                groups.computeIfAbsent(evidence.crashIds(), unused -> new ArrayList<>())
                        .add(part);
            }
        });
        List<Set<CrashId>> weakestFirst = new ArrayList<>(groups.keySet());
        weakestFirst.sort(Comparator.comparingInt(Set::size));
        Map<CrashId, Integer> explanations = new HashMap<>();
        weakestFirst.forEach(crashes -> crashes.forEach(crash -> explanations.merge(crash, 1, Integer::sum)));
        for (Set<CrashId> crashes : weakestFirst) {
            if (crashes.stream().allMatch(crash -> explanations.get(crash) > 1)) {
                crashes.forEach(crash -> explanations.merge(crash, -1, Integer::sum));
            } else {
                int group = ++groupCount;
                groups.get(crashes).forEach(part -> blocked.put(part, group));
            }
        }
    }
}
