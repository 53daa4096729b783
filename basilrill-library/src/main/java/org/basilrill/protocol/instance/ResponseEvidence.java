package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.basilrill.protocol.caller.ResponseHead;

/**
 * Decides for one attempt when a target has responded for long enough that no part of the prompt can be what crashes
 * it, and reports that. A target may send the beginning of an event before it crashes. Not thread safe.
 */
final class ResponseEvidence {
    /** Longer than a target takes from the first byte of a response to the end of its first event. */
    private static final Duration ESTABLISHED_AFTER = Duration.ofMillis(200);

    private static final int FIRST_NON_SUCCESS_STATUS = 300;

    private final RequestServices services;
    private final RequestPlan plan;
    private boolean success;
    private OptionalLong bodyStartNanos = OptionalLong.empty();

    ResponseEvidence(RequestServices services, RequestPlan plan) {
        this.services = services;
        this.plan = plan;
    }

    void headReceived(ResponseHead head) {
        success = head.status() < FIRST_NON_SUCCESS_STATUS;
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
            services.scheduler().schedule(ESTABLISHED_AFTER, () -> ifRunning.accept(this::report));
        }
    }

    /** Records the end of a complete response. */
    void completed() {
        if (success) {
            report();
        }
    }

    boolean isEstablished() {
        return bodyStartNanos.isPresent()
                && services.clock().nanos() - bodyStartNanos.getAsLong() >= ESTABLISHED_AFTER.toNanos();
    }

    private void report() {
        services.promptParts().responseStarted(plan.sharedParts());
    }
}
