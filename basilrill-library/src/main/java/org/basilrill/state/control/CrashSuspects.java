package org.basilrill.state.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.SuspectId;
import org.basilrill.state.control.ControlCommand.LostRequest;
import org.basilrill.state.control.ControlCommand.ReleasePart;
import org.basilrill.state.control.ControlCommand.ReleaseSuspect;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlCommand.ReportCrashEvidence;
import org.basilrill.state.control.ControlCommand.ReportPartAnswers;
import org.basilrill.state.control.ControlCommand.RequestPartTrial;
import org.basilrill.state.control.ControlCommand.RequestTrial;
import org.basilrill.state.control.ControlCommand.SuspectAnswer;
import org.basilrill.state.control.ControlResult.CrashCount;
import org.basilrill.state.control.ControlResult.CrashVerdicts;
import org.basilrill.state.control.ControlResult.Done;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.thrift.control.MachineState;
import org.basilrill.thrift.control.OpenTrialState;

/**
 * Applies the records about requests and prompt parts that crash targets. Whole requests are judged as earlier builds
 * do until the first record of {@link FormatLevel#CRASH_EVIDENCE}, which shows that all replicas understand evidence;
 * from then on they are suspects like prompt parts, also in records of earlier builds. Not thread safe.
 */
final class CrashSuspects {
    private final LostTargetCounts lostTargets = new LostTargetCounts();
    private final Suspects suspects = new Suspects();
    private boolean countsRequests;

    /** Applies a record that concerns suspects; empty for any other one. */
    Optional<ControlResult> apply(ControlCommand command, long nowMillis) {
        if (command instanceof ReportCrash crash) {
            return Optional.of(reportCrash(crash, nowMillis));
        }
        if (command instanceof ReportPartAnswers report) {
            List<SuspectAnswer> answers = report.answers().stream()
                    .map(answer -> new SuspectAnswer(answer.part(), answer.ageMillis(), Optional.empty()))
                    .toList();
            suspects.report(List.of(), answers, nowMillis);
            return Optional.of(new Done());
        }
        if (command instanceof RequestPartTrial trial) {
            return Optional.of(suspects.requestTrial(trial.part(), nowMillis));
        }
        if (command instanceof ReleasePart release) {
            return Optional.of(release(release.part()));
        }
        return applyEvidence(command, nowMillis);
    }

    /** Returns the time of a record that states one, which is that of its leader. */
    static Optional<Long> timeOf(ControlCommand command) {
        if (command instanceof ReportCrash crash) {
            return Optional.of(crash.nowMillis());
        }
        if (command instanceof ReportPartAnswers answers) {
            return Optional.of(answers.nowMillis());
        }
        if (command instanceof RequestPartTrial trial) {
            return Optional.of(trial.nowMillis());
        }
        if (command instanceof ReportCrashEvidence evidence) {
            return Optional.of(evidence.nowMillis());
        }
        return command instanceof RequestTrial trial ? Optional.of(trial.nowMillis()) : Optional.empty();
    }

    /** Drops what has expired; returns whether anything was dropped. */
    boolean expire(long nowMillis) {
        return lostTargets.expire(nowMillis) | suspects.expire(nowMillis);
    }

    /** Returns the requests that are blocked as earlier builds judge them. */
    Set<String> blockedFingerprints() {
        return lostTargets.blocked();
    }

    List<CrashSuspect> view() {
        return suspects.view();
    }

    void addTo(MachineState state) {
        state.setCrashes(lostTargets.state());
        state.setPartSuspects(suspects.partState());
        if (countsRequests) {
            state.setCountsRequestSuspects(true);
            state.setRequestSuspects(suspects.requestState());
            suspects.openTrial()
                    .map(trial -> new OpenTrialState(WireEnums.toWire(trial.suspect()), trial.startMillis()))
                    .ifPresent(state::setOpenTrial);
        }
    }

    void restore(MachineState state) {
        countsRequests = state.isCountsRequestSuspects();
        lostTargets.restore(state.getCrashes());
        suspects.restore(
                Optional.ofNullable(state.getPartSuspects()).orElse(List.of()),
                Optional.ofNullable(state.getRequestSuspects()).orElse(List.of()),
                Optional.ofNullable(state.getOpenTrial()).flatMap(CrashSuspects::trial));
    }

    private Optional<ControlResult> applyEvidence(ControlCommand command, long nowMillis) {
        if (FormatLevel.requiredBy(command) < FormatLevel.CRASH_EVIDENCE) {
            return Optional.empty();
        }
        countsRequests = true;
        lostTargets.clear();
        if (command instanceof ReportCrashEvidence evidence) {
            return Optional.of(new CrashVerdicts(suspects.report(evidence.lost(), evidence.answers(), nowMillis)));
        }
        if (command instanceof RequestTrial trial) {
            return Optional.of(suspects.requestExclusiveTrial(trial.suspect(), nowMillis));
        }
        return Optional.of(release(((ReleaseSuspect) command).suspect()));
    }

    private ControlResult reportCrash(ReportCrash crash, long nowMillis) {
        List<SuspectId> reported = new ArrayList<>(crash.promptParts());
        int targets = 0;
        if (countsRequests) {
            reported.add(new RequestFingerprintId(crash.fingerprint()));
        } else {
            targets = lostTargets.report(crash, nowMillis);
        }
        LostRequest lost = new LostRequest(
                crash.target(), crash.targetIncarnation(), Optional.empty(), 0, crash.runningMillis(), reported);
        List<SuspectId> refusing =
                suspects.report(List.of(lost), List.of(), nowMillis).get(0);
        List<PromptPartId> blockedParts = refusing.stream()
                .filter(PromptPartId.class::isInstance)
                .map(PromptPartId.class::cast)
                .toList();
        boolean requestBlocked = blockedParts.size() < refusing.size();
        return new CrashCount(requestBlocked ? LostTargetCounts.BLOCKING_TARGETS : targets, blockedParts);
    }

    private ControlResult release(SuspectId suspect) {
        return suspects.release(suspect) ? new Done() : new Refused(ErrorCode.NOT_FOUND, "nothing suspects " + suspect);
    }

    private static Optional<Suspects.Trial> trial(OpenTrialState state) {
        return WireEnums.fromWire(state.getSuspect())
                .map(suspect -> new Suspects.Trial(suspect, state.getStartMillis()));
    }
}
