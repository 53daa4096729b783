package org.basilrill.state.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.basilrill.api.SuspectId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.LostRequest;
import org.basilrill.thrift.control.PartCrash;
import org.basilrill.thrift.control.PartSuspectState;
import org.basilrill.thrift.control.RequestSuspectState;

/**
 * The crashes that count against one suspect. Immutable and thread safe.
 *
 * @param crashes crashes since the last response, oldest first
 * @param trialMillis time from which one request is permitted if the suspect is blocked
 * @param trials number of requests permitted while the suspect was blocked
 */
record SuspectEvidence(SuspectKind kind, List<Crash> crashes, long changedMillis, long trialMillis, int trials) {
    /** Limits the size of the state; enough to compare the crashes of several suspects. */
    private static final int MAXIMUM_CRASHES = 16;

    /** Times from different reports may differ by the time that the reports took to the leader. */
    private static final long TIME_TOLERANCE_MILLIS = Duration.ofMillis(100).toMillis();

    /** Shorter than a target takes to start again, longer than a report takes that is sent once more. */
    private static final long RESTART_MILLIS = Duration.ofSeconds(1).toMillis();

    /** Identifies a crash: a target crashes once in each incarnation. */
    record CrashId(TargetId target, long incarnation) {}

    /**
     * A crash, and whether it cannot have the cause of the one before it.
     *
     * @param softwareVersion software version of the target; empty if it is unknown
     */
    private record Crash(CrashId id, long atMillis, boolean independent, Optional<String> softwareVersion) {
        boolean isRefutedBy(Optional<String> answeringVersion) {
            return softwareVersion.isEmpty() || answeringVersion.isEmpty() || softwareVersion.equals(answeringVersion);
        }
    }

    static SuspectEvidence none(SuspectId suspect, long nowMillis) {
        return new SuspectEvidence(SuspectKind.of(suspect), List.of(), nowMillis, 0, 0);
    }

    static SuspectEvidence of(PartSuspectState state) {
        return new SuspectEvidence(
                SuspectKind.PROMPT_PART,
                decoded(state.getCrashes()),
                state.getChangedMillis(),
                state.getTrialMillis(),
                state.getTrials());
    }

    static SuspectEvidence of(RequestSuspectState state) {
        return new SuspectEvidence(
                SuspectKind.REQUEST,
                decoded(state.getCrashes()),
                state.getChangedMillis(),
                state.getTrialMillis(),
                state.getTrials());
    }

    List<PartCrash> encodedCrashes() {
        return crashes.stream().map(SuspectEvidence::encoded).toList();
    }

    /** Returns whether the crashes suffice to block the suspect unless other suspects explain them. */
    boolean suffices() {
        long independent = crashes.stream().filter(Crash::independent).count();
        return kind.suffices(crashes.size(), independent);
    }

    Set<CrashId> crashIds() {
        return crashes.stream().map(Crash::id).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the time from the block to the next trial. */
    Duration block() {
        return kind.block(trials);
    }

    /** Returns this evidence if it contains the crash already. */
    SuspectEvidence withCrash(LostRequest lost, long nowMillis) {
        long atMillis = nowMillis - lost.ageMillis();
        long sentMillis = atMillis - lost.runningMillis();
        CrashId id = new CrashId(lost.target(), lost.targetIncarnation());
        if (crashes.stream().anyMatch(crash -> crash.id().equals(id) && isSameCrash(crash, sentMillis))) {
            return this;
        }
        // Reports may arrive in another order than the crashes happened.
        int position = (int)
                crashes.stream().filter(crash -> crash.atMillis() <= atMillis).count();
        List<Crash> counted = new ArrayList<>(crashes);
        counted.add(
                position,
                new Crash(id, atMillis, isIndependent(crashes.subList(0, position), sentMillis), lost.version()));
        if (counted.size() > MAXIMUM_CRASHES) {
            counted.remove(0);
        }
        SuspectEvidence more = new SuspectEvidence(kind, List.copyOf(counted), nowMillis, trialMillis, trials);
        if (!suffices()) {
            return more.withTrialAt(nowMillis + block().toMillis());
        }
        boolean triedInVain = kind == SuspectKind.REQUEST && sentMillis >= trialMillis;
        return triedInVain ? more.afterTrial(nowMillis) : more;
    }

    /** Returns the evidence without the crashes that a response to a request sent after them refutes. */
    SuspectEvidence withoutCrashesBefore(long millis, Optional<String> answeringVersion) {
        List<Crash> later = crashes.stream()
                .filter(crash -> crash.atMillis() > millis || !crash.isRefutedBy(answeringVersion))
                .toList();
        return new SuspectEvidence(kind, later, changedMillis, trialMillis, trials);
    }

    /**
     * Returns the evidence after one request was permitted. A trial of a whole request counts only once it has crashed
     * a target, so that one whose instance is lost can be repeated.
     */
    SuspectEvidence afterPermission(long nowMillis) {
        return kind == SuspectKind.PROMPT_PART ? afterTrial(nowMillis) : this;
    }

    private SuspectEvidence afterTrial(long nowMillis) {
        long next = nowMillis + kind.block(trials + 1).toMillis();
        return new SuspectEvidence(kind, crashes, nowMillis, next, trials + 1);
    }

    private SuspectEvidence withTrialAt(long millis) {
        return new SuspectEvidence(kind, crashes, changedMillis, millis, trials);
    }

    /**
     * Returns whether a lost request was at the target when that crash happened. A request that was sent later reached
     * a new incarnation that the reporting instance did not know yet.
     */
    private boolean isSameCrash(Crash crash, long sentMillis) {
        return kind == SuspectKind.PROMPT_PART || sentMillis <= crash.atMillis() + RESTART_MILLIS;
    }

    /** Returns whether a request that was sent then cannot have been lost for the reason of an earlier crash. */
    private boolean isIndependent(List<Crash> earlier, long sentMillis) {
        if (kind == SuspectKind.PROMPT_PART) {
            return earlier.isEmpty()
                    || sentMillis > earlier.get(earlier.size() - 1).atMillis();
        }
        return earlier.stream()
                .filter(Crash::independent)
                .allMatch(crash -> sentMillis > crash.atMillis() + TIME_TOLERANCE_MILLIS);
    }

    private static PartCrash encoded(Crash crash) {
        PartCrash state = new PartCrash(
                crash.atMillis(), crash.id().target().value(), crash.id().incarnation(), crash.independent());
        crash.softwareVersion().ifPresent(state::setSoftwareVersion);
        return state;
    }

    private static List<Crash> decoded(List<PartCrash> crashes) {
        return crashes.stream()
                .map(crash -> new Crash(
                        new CrashId(new TargetId(crash.getTarget()), crash.getTargetIncarnation()),
                        crash.getAtMillis(),
                        crash.isIndependent(),
                        Optional.ofNullable(crash.getSoftwareVersion())))
                .toList();
    }
}
