package org.basilrill.protocol.instance;

import com.google.common.flogger.FluentLogger;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.LogEvent;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.SuspectId;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * A connection that was lost while a target may have run a request over it. Immutable and thread safe.
 *
 * @param sentNanos time at which the request was sent
 * @param lostNanos time at which the connection was lost
 */
record LostConnection(TargetAnnouncement target, long sentNanos, long lostNanos) {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /**
     * Reports a crash of the target; a failure of the report is logged.
     *
     * @param suspects what may have crashed it; empty if nothing did
     * @return the blocked suspects because of which the request is refused
     */
    CompletableFuture<List<SuspectId>> reportCrash(
            RequestServices services, RequestPlan plan, List<SuspectId> suspects) {
        if (suspects.isEmpty()) {
            return CompletableFuture.completedFuture(List.of());
        }
        LOGGER.atWarning().log(
                "%s: target %s, incarnation %d, request %s sent %d ms ago, suspects %s",
                LogEvent.TARGET_LOST,
                target.id(),
                target.incarnation(),
                plan.requestId(),
                TimeUnit.NANOSECONDS.toMillis(services.clock().nanos() - sentNanos),
                suspects);
        CompletableFuture<List<SuspectId>> report =
                services.suspects().requestLost(target, suspects, sentNanos, lostNanos);
        report.thenAccept(refusing -> refusing.stream()
                .filter(RequestFingerprintId.class::isInstance)
                .forEach(request -> services.blockedRequests().block(request.toString())));
        return report;
    }

    /** Keeps the loss until the target announces whether it has crashed. */
    void keepUnexplained(RequestServices services, List<SuspectId> suspects) {
        services.suspects().connectionLost(target, suspects, sentNanos, lostNanos);
    }

    /**
     * Reports a crash if the target accepts no new connection; a reset connection alone is no crash yet. For responses
     * that were established: the parts of the prompt are no suspects then, but the whole request is until its end.
     */
    void detectCrash(RequestServices services, RequestPlan plan) {
        List<SuspectId> suspects = List.of(new RequestFingerprintId(plan.fingerprint()));
        services.connector().acceptsConnection(target).thenAccept(accepts -> {
            if (accepts) {
                keepUnexplained(services, suspects);
            } else {
                reportCrash(services, plan, suspects);
            }
        });
    }
}
