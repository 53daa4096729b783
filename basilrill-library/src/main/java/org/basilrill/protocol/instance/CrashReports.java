package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.PromptPartId;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.target.TargetAnnouncement;

/** Reports requests whose targets were lost to the control log. Stateless and thread safe. */
final class CrashReports {
    /** Detail of the error response to a request that has crashed too many targets. */
    static final String SUSPECT_DETAIL = "targets were lost while they ran this request";

    /** Detail of the error response to a request with a part that crashes targets; returning soon is of no use. */
    static final String BLOCKED_PART_DETAIL = "targets crash when they respond to this part of the prompt: ";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** After a request has crashed this many targets, it is not sent to another one. */
    private static final int LOST_TARGETS_LIMIT = 2;

    private CrashReports() {}

    /**
     * Reports a lost target; a failure of the report is logged.
     *
     * @param running time since the request was sent to the target
     * @param suspectParts prompt parts that may have crashed the target
     */
    static CompletableFuture<ControlResult> report(
            RequestServices services,
            RequestPlan plan,
            TargetAnnouncement lostTarget,
            Duration running,
            List<PromptPartId> suspectParts) {
        String fingerprint = plan.fingerprint();
        LOGGER.atWarning().log(
                "%s: target %s, request %s sent %d ms ago, prompt parts %s",
                LogEvent.TARGET_LOST, lostTarget.id(), plan.requestId(), running.toMillis(), suspectParts);
        ControlCommand command = new ControlCommand.ReportCrash(
                fingerprint,
                lostTarget.id(),
                lostTarget.incarnation(),
                services.wallClockMillis().getAsLong(),
                suspectParts,
                running.toMillis());
        CompletableFuture<ControlResult> report =
                services.control().submit(command, services.limits().controlDeadline());
        report.whenComplete((result, problem) -> {
            if (result instanceof ControlResult.CrashCount count) {
                services.promptParts().crashReported(count);
            }
            if (isSuspect(result)) {
                services.blockedRequests().block(fingerprint);
            }
            if (problem != null) {
                LOGGER.atWarning().log("%s: %s", LogEvent.CRASH_REPORT_FAILED, problem.getMessage());
            }
        });
        return report;
    }

    /**
     * Returns the error code if the request must not be sent to another target; empty if it may be.
     *
     * @param codeIfUnknown error code if the control log returned no count
     */
    static Optional<ErrorCode> refusalCode(ControlResult result, ErrorCode codeIfUnknown) {
        if (!(result instanceof ControlResult.CrashCount count)) {
            return Optional.of(codeIfUnknown);
        }
        return isSuspect(result) || !count.blockedParts().isEmpty()
                ? Optional.of(ErrorCode.CRASH_SUSPECT)
                : Optional.empty();
    }

    /** Returns whether the control log reports that the request has crashed too many targets. */
    private static boolean isSuspect(ControlResult result) {
        return result instanceof ControlResult.CrashCount count && count.targets() >= LOST_TARGETS_LIMIT;
    }
}
