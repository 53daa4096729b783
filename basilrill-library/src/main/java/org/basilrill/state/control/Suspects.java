package org.basilrill.state.control;

import java.util.ArrayList;
import java.util.Collection;
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
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.SuspectId;
import org.basilrill.state.control.ControlCommand.LostRequest;
import org.basilrill.state.control.ControlCommand.SuspectAnswer;
import org.basilrill.state.control.SuspectEvidence.CrashId;
import org.basilrill.thrift.control.PartSuspectState;
import org.basilrill.thrift.control.RequestSuspectState;

/**
 * Decides which requests and which parts of prompts crash the targets that run them. A crash counts against every
 * suspect of the requests that were lost in it. A response to a request that was sent later clears its suspects, so
 * only what never gets a response remains. Targets that are lost together, such as those of a rack, count as one
 * independent crash. A suspect is not blocked if other blocked ones were at all of its crashes. Not thread safe.
 */
final class Suspects {
    /** Limits the size of the view. */
    private static final int MAXIMUM_VIEW = 1_024;

    /**
     * A request is in the view from its second crash on: instances report responses only to suspects of the view, and
     * most requests that were at a crashed target never come again.
     */
    private static final int REQUEST_CRASHES_IN_VIEW = 2;

    /** Time after which a trial without a result, such as one whose instance was lost, is over. */
    private static final long TRIAL_MILLIS = 30_000;

    /** Evidence by suspect, ordered by its last change, oldest first. */
    private final LinkedHashMap<SuspectId, SuspectEvidence> suspects = new LinkedHashMap<>();

    /** Group number by blocked suspect; the suspects of a group have the same crashes and are refused together. */
    private final Map<SuspectId, Integer> blocked = new HashMap<>();

    private Optional<Trial> openTrial = Optional.empty();

    /**
     * A trial whose result is not known yet.
     *
     * @param startMillis time at which it was permitted
     */
    record Trial(SuspectId suspect, long startMillis) {}

    /**
     * Counts lost requests against their suspects, and responses for them. Their times decide, not their order.
     *
     * @return for each lost request the suspects because of which it is refused: the blocked ones whose whole group it
     *     contains
     */
    List<List<SuspectId>> report(List<LostRequest> lost, List<SuspectAnswer> answers, long nowMillis) {
        lost.forEach(request -> request.suspects().forEach(suspect -> addCrash(suspect, request, nowMillis)));
        answers.forEach(answer -> clear(answer, nowMillis));
        suspects.values().removeIf(evidence -> evidence.crashes().isEmpty());
        dropExcess();
        updateBlocked();
        return lost.stream().map(request -> refusing(request.suspects())).toList();
    }

    /** Grants one request with the group of a suspect whose block has lasted long enough; the next block is longer. */
    ControlResult requestTrial(SuspectId suspect, long nowMillis) {
        if (!blocked.containsKey(suspect) || nowMillis < suspects.get(suspect).trialMillis()) {
            return new ControlResult.Refused(ErrorCode.CRASH_SUSPECT, "no trial of the suspect is due");
        }
        int group = blocked.get(suspect);
        List<SuspectId> tried = blocked.keySet().stream()
                .filter(other -> blocked.get(other) == group)
                .sorted(Comparator.comparing(SuspectId::toString))
                .toList();
        tried.forEach(other -> replace(other, suspects.get(other).afterPermission(nowMillis)));
        return new ControlResult.Done();
    }

    /** Grants a trial unless another one is open, so that two requests never crash targets for it at once. */
    ControlResult requestExclusiveTrial(SuspectId suspect, long nowMillis) {
        if (openTrial
                .filter(trial -> nowMillis - trial.startMillis() < TRIAL_MILLIS)
                .isPresent()) {
            return new ControlResult.Refused(ErrorCode.CRASH_SUSPECT, "another trial is open");
        }
        ControlResult result = requestTrial(suspect, nowMillis);
        if (result instanceof ControlResult.Done) {
            openTrial = Optional.of(new Trial(suspect, nowMillis));
        }
        return result;
    }

    /** Discards the evidence against a suspect; returns whether there was any. */
    boolean release(SuspectId suspect) {
        if (suspects.remove(suspect) == null) {
            return false;
        }
        updateBlocked();
        return true;
    }

    /** Drops suspects without a recent crash; returns whether any was dropped. */
    boolean expire(long nowMillis) {
        boolean dropped = suspects.entrySet().removeIf(entry -> isExpired(entry.getKey(), entry.getValue(), nowMillis));
        if (dropped) {
            updateBlocked();
        }
        return dropped;
    }

    /** Returns the suspects in the order of their last change; if there are too many, the blocked ones first. */
    List<CrashSuspect> view() {
        List<CrashSuspect> all = suspects.entrySet().stream()
                .filter(entry -> entry.getKey() instanceof PromptPartId
                        || entry.getValue().crashes().size() >= REQUEST_CRASHES_IN_VIEW)
                .map(entry -> status(entry.getKey(), entry.getValue()))
                .toList();
        return all.size() <= MAXIMUM_VIEW
                ? all
                : all.stream()
                        .sorted(Comparator.comparing(suspect -> !suspect.blocked()))
                        .limit(MAXIMUM_VIEW)
                        .toList();
    }

    Optional<Trial> openTrial() {
        return openTrial;
    }

    List<PartSuspectState> partState() {
        List<PartSuspectState> states = new ArrayList<>();
        suspects.forEach((suspect, evidence) -> {
            if (suspect instanceof PromptPartId part) {
                states.add(new PartSuspectState(
                        WireEnums.toWire(part),
                        evidence.encodedCrashes(),
                        evidence.changedMillis(),
                        evidence.trialMillis(),
                        evidence.trials()));
            }
        });
        return states;
    }

    List<RequestSuspectState> requestState() {
        List<RequestSuspectState> states = new ArrayList<>();
        suspects.forEach((suspect, evidence) -> {
            if (suspect instanceof RequestFingerprintId request) {
                states.add(new RequestSuspectState(
                        request.value(),
                        evidence.encodedCrashes(),
                        evidence.changedMillis(),
                        evidence.trialMillis(),
                        evidence.trials()));
            }
        });
        return states;
    }

    void restore(List<PartSuspectState> parts, List<RequestSuspectState> requests, Optional<Trial> trial) {
        suspects.clear();
        parts.forEach(part -> suspects.put(WireEnums.fromWire(part.getPart()), SuspectEvidence.of(part)));
        requests.forEach(
                request -> suspects.put(new RequestFingerprintId(request.getRequest()), SuspectEvidence.of(request)));
        openTrial = trial;
        updateBlocked();
    }

    private void addCrash(SuspectId suspect, LostRequest lost, long nowMillis) {
        SuspectEvidence known = suspects.getOrDefault(suspect, SuspectEvidence.none(suspect, nowMillis));
        SuspectEvidence counted = known.withCrash(lost, nowMillis);
        if (counted != known) {
            replace(suspect, counted);
        }
        endTrialOf(suspect);
    }

    private void clear(SuspectAnswer answer, long nowMillis) {
        SuspectEvidence evidence = suspects.get(answer.suspect());
        if (evidence != null) {
            replace(
                    answer.suspect(),
                    evidence.withoutCrashesBefore(nowMillis - answer.ageMillis(), answer.softwareVersion()));
        }
        endTrialOf(answer.suspect());
    }

    private void endTrialOf(SuspectId suspect) {
        openTrial = openTrial.filter(trial -> !trial.suspect().equals(suspect));
    }

    private List<SuspectId> refusing(Collection<SuspectId> contained) {
        Set<Integer> incomplete = blocked.entrySet().stream()
                .filter(entry -> !contained.contains(entry.getKey()))
                .map(Map.Entry::getValue)
                .collect(Collectors.toUnmodifiableSet());
        return contained.stream()
                .filter(suspect -> blocked.containsKey(suspect) && !incomplete.contains(blocked.get(suspect)))
                .toList();
    }

    private boolean isExpired(SuspectId suspect, SuspectEvidence evidence, long nowMillis) {
        SuspectKind kind = evidence.kind();
        long keptMillis = (blocked.containsKey(suspect) ? SuspectKind.BLOCK_RETENTION : kind.suspicion()).toMillis();
        return nowMillis - evidence.changedMillis() > keptMillis;
    }

    private CrashSuspect status(SuspectId suspect, SuspectEvidence evidence) {
        Integer group = blocked.get(suspect);
        return new CrashSuspect(
                suspect,
                evidence.crashes().size(),
                group == null ? Optional.empty() : Optional.of(evidence.block()),
                group == null ? 0 : group);
    }

    private void replace(SuspectId suspect, SuspectEvidence evidence) {
        suspects.remove(suspect);
        suspects.put(suspect, evidence);
    }

    /** Drops the suspects with the fewest crashes first, so that new ones cannot displace a blocked one. */
    private void dropExcess() {
        for (SuspectKind kind : SuspectKind.values()) {
            List<SuspectId> known = suspects.entrySet().stream()
                    .filter(entry -> entry.getValue().kind() == kind)
                    .map(Map.Entry::getKey)
                    .toList();
            known.stream()
                    .sorted(Comparator.comparingInt(
                            suspect -> suspects.get(suspect).crashes().size()))
                    .limit(Math.max(0, known.size() - kind.maximum()))
                    .forEach(suspects::remove);
        }
    }

    /**
     * Blocks the suspects with sufficient evidence, except those that the other ones explain. Parts with the same
     * crashes cannot be told apart and form a group. Only requests with the whole group are refused: when the shared
     * system prompt was blocked with the part that crashes targets, no request of its kind was served.
     */
    private void updateBlocked() {
        blocked.clear();
        Map<Set<CrashId>, List<SuspectId>> classes = new LinkedHashMap<>();
        suspects.forEach((suspect, evidence) -> {
            if (evidence.suffices()) {
                classes.computeIfAbsent(evidence.crashIds(), unused -> new ArrayList<>())
                        .add(suspect);
            }
        });
        List<Set<CrashId>> weakestFirst = new ArrayList<>(classes.keySet());
        weakestFirst.sort(Comparator.comparingInt(Set::size));
        Map<CrashId, Integer> explanations = new HashMap<>();
        weakestFirst.forEach(crashes -> crashes.forEach(crash -> explanations.merge(crash, 1, Integer::sum)));
        for (Set<CrashId> crashes : weakestFirst) {
            if (crashes.stream().allMatch(crash -> explanations.get(crash) > 1)) {
                crashes.forEach(crash -> explanations.merge(crash, -1, Integer::sum));
            } else {
                block(classes.get(crashes));
            }
        }
    }

    /**
     * Blocks suspects with the same crashes. Whole requests explain the crashes better than their parts do, which other
     * requests contain as well; each one is refused, as no request could contain two.
     */
    private void block(List<SuspectId> sameCrashes) {
        List<SuspectId> requests = sameCrashes.stream()
                .filter(RequestFingerprintId.class::isInstance)
                .toList();
        int group = blocked.values().stream().mapToInt(Integer::intValue).max().orElse(0);
        for (SuspectId request : requests) {
            blocked.put(request, ++group);
        }
        if (requests.isEmpty()) {
            int shared = group + 1;
            sameCrashes.forEach(part -> blocked.put(part, shared));
        }
    }
}
