package org.basilrill.state.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.thrift.control.PartCrash;
import org.basilrill.thrift.control.PartSuspectState;

/**
 * The crashes that count against one prompt part. Immutable and thread safe.
 *
 * @param crashes crashes since the last response, oldest first
 * @param trialMillis time from which one request is permitted if the part is blocked
 * @param trials number of requests permitted while the part was blocked
 */
record PartEvidence(List<Crash> crashes, long changedMillis, long trialMillis, int trials) {
    /** More than the usual number of attempts of one request, so that its other parts are not blocked with it. */
    private static final int INDEPENDENT_CRASHES = 3;

    /** Crashes that suffice although several of them came at once, if two are independent. */
    private static final int CRASHES = 5;

    private static final int CRASHES_INDEPENDENT = 2;

    /** Limits the size of the state; enough to compare the crashes of several parts. */
    private static final int MAXIMUM_CRASHES = 16;

    /** Short, so that a sound part that was blocked by mistake is soon served again. */
    private static final Duration FIRST_BLOCK = Duration.ofSeconds(5);

    /** Large, as each trial of a part that still crashes targets costs one. */
    private static final int BLOCK_FACTOR = 12;

    private static final Duration LONGEST_BLOCK = Duration.ofHours(8);

    /** Identifies a crash: a target crashes once in each incarnation. */
    record CrashId(TargetId target, long incarnation) {}

    /** A crash, and whether the request was sent after the crash before it. */
    private record Crash(CrashId id, long atMillis, boolean independent) {}

    static PartEvidence none(long nowMillis) {
        return new PartEvidence(List.of(), nowMillis, 0, 0);
    }

    static PartEvidence of(PartSuspectState state) {
        List<Crash> crashes = state.getCrashes().stream()
                .map(crash -> new Crash(
                        new CrashId(new TargetId(crash.getTarget()), crash.getTargetIncarnation()),
                        crash.getAtMillis(),
                        crash.isIndependent()))
                .toList();
        return new PartEvidence(crashes, state.getChangedMillis(), state.getTrialMillis(), state.getTrials());
    }

    PartSuspectState state(PromptPartId part) {
        List<PartCrash> encoded = crashes.stream()
                .map(crash -> new PartCrash(
                        crash.atMillis(),
                        crash.id().target().value(),
                        crash.id().incarnation(),
                        crash.independent()))
                .toList();
        return new PartSuspectState(WireEnums.toWire(part), encoded, changedMillis, trialMillis, trials);
    }

    /** Returns whether the crashes suffice to block the part unless other parts explain them. */
    boolean suffices() {
        long independent = crashes.stream().filter(Crash::independent).count();
        return independent >= INDEPENDENT_CRASHES || crashes.size() >= CRASHES && independent >= CRASHES_INDEPENDENT;
    }

    Set<CrashId> crashIds() {
        return crashes.stream().map(Crash::id).collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the time from the block to the next trial. */
    Duration block() {
        Duration block = FIRST_BLOCK;
        for (int trial = 0; trial < trials && block.compareTo(LONGEST_BLOCK) < 0; trial++) {
            block = block.multipliedBy(BLOCK_FACTOR);
        }
        return block.compareTo(LONGEST_BLOCK) < 0 ? block : LONGEST_BLOCK;
    }

    /** Returns this evidence if it contains the crash already. */
    PartEvidence withCrash(ReportCrash command, long nowMillis) {
        CrashId id = new CrashId(command.target(), command.targetIncarnation());
        if (crashes.stream().anyMatch(crash -> crash.id().equals(id))) {
            return this;
        }
        long sentMillis = nowMillis - command.runningMillis();
        boolean independent = crashes.isEmpty()
                || sentMillis > crashes.get(crashes.size() - 1).atMillis();
        List<Crash> counted = new ArrayList<>(crashes);
        counted.add(new Crash(id, nowMillis, independent));
        if (counted.size() > MAXIMUM_CRASHES) {
            counted.remove(0);
        }
        long trial = suffices() ? trialMillis : nowMillis + block().toMillis();
        return new PartEvidence(List.copyOf(counted), nowMillis, trial, trials);
    }

    PartEvidence withoutCrashesBefore(long millis) {
        List<Crash> later =
                crashes.stream().filter(crash -> crash.atMillis() > millis).toList();
        return new PartEvidence(later, changedMillis, trialMillis, trials);
    }

    PartEvidence afterTrial(long nowMillis) {
        PartEvidence tried = new PartEvidence(crashes, nowMillis, trialMillis, trials + 1);
        return new PartEvidence(crashes, nowMillis, nowMillis + tried.block().toMillis(), trials + 1);
    }
}
