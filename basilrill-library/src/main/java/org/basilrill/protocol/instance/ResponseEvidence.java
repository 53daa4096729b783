package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.protocol.caller.ResponseHead;

/**
 * Decides for one attempt when the response of a target shows that the request does not crash it, and reports that.
 * No part of the prompt can be what crashes the target once it has responded for some time; it may send the beginning
 * of an event before it crashes. The request as a whole may still crash it until the response is complete. Not thread
 * safe.
 */
final class ResponseEvidence {
    /** Longer than a target takes from the first byte of a response to the end of its first event. */
    private static final Duration ESTABLISHED_AFTER = Duration.ofMillis(200);

    private static final int FIRST_NON_SUCCESS_STATUS = 300;
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int TOO_MANY_REQUESTS = 429;

    private final RequestServices services;
    private final RequestPlan plan;
    private final Optional<String> softwareVersion;
    private boolean success;
    private boolean ran;
    private OptionalLong bodyStartNanos = OptionalLong.empty();

    /**
     * Creates the evidence of an attempt without a response.
     *
     * @param softwareVersion software version of the target, if it announces one
     */
    ResponseEvidence(RequestServices services, RequestPlan plan, Optional<String> softwareVersion) {
        this.services = services;
        this.plan = plan;
        this.softwareVersion = softwareVersion;
    }

    void headReceived(ResponseHead head) {
        success = head.status() < FIRST_NON_SUCCESS_STATUS;
        // A target that rejects a request, or is in trouble itself, shows nothing about the request.
        ran = head.status() < FIRST_SERVER_ERROR_STATUS && head.status() != TOO_MANY_REQUESTS;
    }

    /**
     * Records part of the body.
     *
     * @param ifRunning runs a task unless the attempt has ended by then
     */
    void bodyReceived(byte[] bytes, Consumer<Runnable> ifRunning) {
        if (bodyStartNanos.isPresent() || bytes.length == 0) {
            return;
        }
        bodyStartNanos = OptionalLong.of(services.clock().nanos());
        if (success && !plan.sharedParts().isEmpty()) {
            services.scheduler().schedule(ESTABLISHED_AFTER, () -> ifRunning.accept(this::reportParts));
        }
    }

    /**
     * Records the end of a complete response.
     *
     * @param sentNanos time at which the request was sent
     */
    void completed(long sentNanos) {
        if (success) {
            reportParts();
        }
        if (ran) {
            services.suspects()
                    .responded(List.of(new RequestFingerprintId(plan.fingerprint())), sentNanos, softwareVersion);
        }
    }

    boolean isEstablished() {
        return bodyStartNanos.isPresent()
                && services.clock().nanos() - bodyStartNanos.getAsLong() >= ESTABLISHED_AFTER.toNanos();
    }

    private void reportParts() {
        services.suspects().responded(plan.sharedParts(), services.clock().nanos(), softwareVersion);
    }
}
