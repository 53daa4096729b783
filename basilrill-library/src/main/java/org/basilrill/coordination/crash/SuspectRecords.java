package org.basilrill.coordination.crash;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.SuspectId;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlCommand.LostRequest;
import org.basilrill.state.control.ControlCommand.PartAnswer;
import org.basilrill.state.control.ControlCommand.ReleasePart;
import org.basilrill.state.control.ControlCommand.ReleaseSuspect;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlCommand.ReportCrashEvidence;
import org.basilrill.state.control.ControlCommand.ReportPartAnswers;
import org.basilrill.state.control.ControlCommand.RequestPartTrial;
import org.basilrill.state.control.ControlCommand.RequestTrial;
import org.basilrill.state.control.ControlCommand.SuspectAnswer;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlResult.CrashCount;
import org.basilrill.state.control.ControlResult.CrashVerdicts;

/**
 * Submits records about suspects to the control log. While a replica of an earlier build may run, the log refuses them;
 * they are then submitted as records that such a replica knows, as far as there are any. Stateless and thread safe.
 */
public final class SuspectRecords {
    /** Count from which on an earlier build refuses a request. */
    private static final int REFUSING_TARGETS = 2;

    private final ControlClient control;

    public SuspectRecords(ControlClient control) {
        this.control = control;
    }

    /**
     * Reports lost requests and responses.
     *
     * @return for each lost request the blocked suspects because of which it is refused; fails if the log returns no
     *     result before the deadline
     */
    CompletableFuture<List<List<SuspectId>>> report(
            List<LostRequest> lost, List<SuspectAnswer> answers, Duration deadline) {
        return control.submit(new ReportCrashEvidence(lost, answers, 0), deadline)
                .thenCompose(result -> result instanceof CrashVerdicts verdicts
                        ? CompletableFuture.completedFuture(verdicts.refusing())
                        : reportToEarlierBuild(lost, answers, deadline));
    }

    /** Requests a trial; returns whether it is granted. */
    CompletableFuture<Boolean> requestTrial(SuspectId suspect, Duration deadline) {
        return submit(
                        new RequestTrial(suspect, 0),
                        suspect instanceof PromptPartId part ? List.of(new RequestPartTrial(part, 0)) : List.of(),
                        deadline)
                .thenApply(ControlResult.Done.class::isInstance);
    }

    /** Discards the evidence against a suspect by order of an operator. */
    public CompletableFuture<ControlResult> release(SuspectId suspect, Duration deadline) {
        return submit(
                new ReleaseSuspect(suspect),
                suspect instanceof PromptPartId part ? List.of(new ReleasePart(part)) : List.of(),
                deadline);
    }

    /** Submits a record, and the alternative, if there is one, where the log does not permit the record yet. */
    private CompletableFuture<ControlResult> submit(
            ControlCommand command, List<ControlCommand> alternative, Duration deadline) {
        return control.submit(command, deadline)
                .thenCompose(result -> isNotPermitted(result) && !alternative.isEmpty()
                        ? control.submit(alternative.get(0), deadline)
                        : CompletableFuture.completedFuture(result));
    }

    private CompletableFuture<List<List<SuspectId>>> reportToEarlierBuild(
            List<LostRequest> lost, List<SuspectAnswer> answers, Duration deadline) {
        List<PartAnswer> partAnswers = answers.stream()
                .filter(answer -> answer.suspect() instanceof PromptPartId)
                .map(answer -> new PartAnswer((PromptPartId) answer.suspect(), answer.ageMillis()))
                .toList();
        if (!partAnswers.isEmpty()) {
            control.submit(new ReportPartAnswers(partAnswers, 0), deadline);
        }
        CompletableFuture<List<List<SuspectId>>> verdicts = CompletableFuture.completedFuture(List.of());
        for (LostRequest request : lost) {
            verdicts = verdicts.thenCombine(reportToEarlierBuild(request, deadline), (earlier, refusing) -> {
                List<List<SuspectId>> all = new ArrayList<>(earlier);
                all.add(refusing);
                return all;
            });
        }
        return verdicts;
    }

    private CompletableFuture<List<SuspectId>> reportToEarlierBuild(LostRequest lost, Duration deadline) {
        List<PromptPartId> parts = lost.suspects().stream()
                .filter(PromptPartId.class::isInstance)
                .map(PromptPartId.class::cast)
                .toList();
        List<SuspectId> requests = lost.suspects().stream()
                .filter(RequestFingerprintId.class::isInstance)
                .toList();
        String fingerprint =
                requests.stream().map(SuspectId::toString).findFirst().orElse("");
        ReportCrash report = new ReportCrash(
                fingerprint,
                lost.target(),
                lost.targetIncarnation(),
                0,
                parts,
                lost.ageMillis() + lost.runningMillis());
        return control.submit(report, deadline).thenApply(result -> {
            List<SuspectId> refusing = new ArrayList<>();
            if (result instanceof CrashCount count) {
                refusing.addAll(count.targets() >= REFUSING_TARGETS ? requests : List.of());
                refusing.addAll(count.blockedParts());
            }
            return refusing;
        });
    }

    private static boolean isNotPermitted(ControlResult result) {
        return result instanceof ControlResult.Refused refused && refused.code() == ErrorCode.CONTROL_UNAVAILABLE;
    }
}
