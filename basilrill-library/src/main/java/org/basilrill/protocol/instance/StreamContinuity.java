package org.basilrill.protocol.instance;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Outcome;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.stream.StreamVersionGuard;
import org.basilrill.protocol.dialect.CallRequest.StreamResumption;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Restricts one request to targets of the software version that began its stream, because what two versions write does
 * not fit together. Requests whose streams cannot be resumed are not restricted. Not thread safe.
 */
final class StreamContinuity {
    private final RequestServices services;
    private final RequestPlan plan;
    private final boolean resumable;
    private Optional<String> requiredVersion = Optional.empty();
    /** The last attempt whose target was found to run the required version. */
    private Optional<TargetAttempt> checked = Optional.empty();

    StreamContinuity(RequestServices services, RequestPlan plan) {
        this.services = services;
        this.plan = plan;
        resumable = plan.attemptPolicy().resumesStreams();
    }

    /** Finds the version that began the stream that the caller resumes, if it does; fails if it is unknown. */
    CompletableFuture<Void> findStream() {
        if (!resumable || plan.resumption().isEmpty()) {
            return CompletableFuture.completedFuture(null);
        }
        StreamResumption resumption = plan.resumption().get();
        return services.streams()
                .versionOfStream(
                        resumption.firstRequestId(),
                        plan.destination().service().orElse(""),
                        plan.attemptPolicy().longestStream())
                .thenAccept(this::requireFound);
    }

    private void requireFound(Optional<String> version) {
        if (version.isEmpty()) {
            throw new BasilrillException(
                            ErrorCode.STREAM_VERSION_UNKNOWN, "the software version that began the stream is not known")
                    .withOutcome(Outcome.NOT_RUN);
        }
        requiredVersion = version;
    }

    /** Returns the destination with the version that further attempts require. */
    Destination destination() {
        return requiredVersion.map(plan.destination()::atVersion).orElse(plan.destination());
    }

    /** Completes once the stream may begin at the target; fails if its version could not be registered. */
    CompletableFuture<Void> prepare(TargetAnnouncement target) {
        return resumable && requiredVersion.isEmpty()
                ? services.streams().register(target)
                : CompletableFuture.completedFuture(null);
    }

    /**
     * Checks the target when the first part of its body arrives: an attempt may reach a target that has started again
     * since it was chosen.
     *
     * @throws BasilrillException with {@code STREAM_CUT} if the target may run another version than the stream requires
     */
    void bodyReceived(TargetAttempt attempt) {
        boolean first = checked.filter(known -> known == attempt).isEmpty();
        checked = Optional.of(attempt);
        if (first && requiredVersion.isPresent() && !requiredVersion.equals(Optional.of(versionOf(attempt.target())))) {
            throw new BasilrillException(ErrorCode.STREAM_CUT, "the target may have started again with other software");
        }
    }

    private String versionOf(TargetAnnouncement target) {
        return StreamVersionGuard.versionOf(services.streams().latest(target));
    }

    /** Records that the caller receives the first part of the response. */
    void responseStarted(TargetAnnouncement target) {
        if (resumable && requiredVersion.isEmpty()) {
            TargetAnnouncement latest = services.streams().latest(target);
            requiredVersion = Optional.of(StreamVersionGuard.versionOf(latest));
            services.streams().streamBegan(plan.requestId(), latest);
        }
    }
}
