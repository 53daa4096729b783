package org.basilrill.protocol.target;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.state.target.ColdRemaining;
import org.basilrill.state.target.TargetNotices;

/** Reads what a target states about itself in a response of the native API. Stateless and thread safe. */
public final class NativeTargetNotices {
    private static final String LEAVING = "x-target-leaving";
    private static final String REFUSAL_LIMIT = "x-refusal-limit";
    private static final String COLD_MILLIS = "x-cold-millis";
    private static final String RETRY_AFTER = "retry-after";
    private static final int SERVICE_UNAVAILABLE = 503;
    private static final String TRUE = "true";

    private NativeTargetNotices() {}

    /** Returns the notices in a response. */
    public static TargetNotices read(ResponseHead response) {
        Optional<Duration> pause = response.status() == SERVICE_UNAVAILABLE
                ? response.header(RETRY_AFTER).flatMap(TargetNotices::parsePause)
                : Optional.empty();
        boolean leaving =
                response.header(LEAVING).filter(TRUE::equalsIgnoreCase).isPresent();
        Optional<Integer> refusalLimit = response.header(REFUSAL_LIMIT).flatMap(TargetNotices::parseRefusalLimit);
        return new TargetNotices(
                leaving,
                pause,
                refusalLimit,
                response.status() == SERVICE_UNAVAILABLE,
                response.header(COLD_MILLIS).map(ColdRemaining::parse).orElse(0L));
    }
}
