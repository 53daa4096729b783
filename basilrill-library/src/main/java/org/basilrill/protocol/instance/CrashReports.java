package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.target.TargetAnnouncement;

/** Records in the control log which requests lost their targets. Stateless and thread safe. */
final class CrashReports {
    /** Detail of the refusal of a request that has cost too many targets. */
    static final String SUSPECT = "targets were lost while they ran this request";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Targets lost to one request after which no further target runs it. */
    private static final int LOST_TARGETS_LIMIT = 2;

    private CrashReports() {}

    /** Reports a lost target; a report that fails is logged, too. */
    static CompletableFuture<ControlResult> report(
            RequestServices services, String fingerprint, TargetAnnouncement lost) {
        LOGGER.atWarning().log("%s: target %s", LogEvent.TARGET_LOST, lost.id());
        ControlCommand command = new ControlCommand.ReportCrash(
                fingerprint,
                lost.id(),
                lost.incarnation(),
                services.wallClockMillis().getAsLong());
        CompletableFuture<ControlResult> report =
                services.control().submit(command, services.limits().controlDeadline());
        report.whenComplete((result, problem) -> {
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
     * Returns why no other target may be put at risk; empty if one may.
     *
     * @param unknown reason if the log did not tell
     */
    static Optional<ErrorCode> obstacle(ControlResult result, ErrorCode unknown) {
        if (isSuspect(result)) {
            return Optional.of(ErrorCode.CRASH_SUSPECT);
        }
        return result instanceof ControlResult.CrashCount ? Optional.empty() : Optional.of(unknown);
    }

    /** Returns whether the log says that the request has cost too many targets. */
    static boolean isSuspect(ControlResult result) {
        return result instanceof ControlResult.CrashCount count && count.targets() >= LOST_TARGETS_LIMIT;
    }
}
