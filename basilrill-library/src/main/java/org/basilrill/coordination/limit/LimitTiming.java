package org.basilrill.coordination.limit;

import java.time.Duration;

/** Times of the permits for targets with a limited request rate. */
final class LimitTiming {
    /**
     * A limit ends with a response that does not state it only if none has stated it for this long, because a target
     * may state it in some responses only. Longer than the window over which a target counts its requests, 4 s on the
     * known platforms.
     */
    static final long LIMIT_VALIDITY = Duration.ofSeconds(5).toNanos();
    /** A limit that was not stated for this long is forgotten, as its target is probably gone. */
    static final long LIMIT_RETENTION = Duration.ofMinutes(10).toNanos();
    /**
     * A permit expires this long after the report that requested it. A longer time would move more requests into a
     * later window.
     */
    static final long PERMIT_VALIDITY = Duration.ofSeconds(1).toNanos();
    /** A demand that is not repeated for this long is dropped by the issuer. */
    static final long DEMAND_VALIDITY = Duration.ofSeconds(1).toNanos();
    /** Interval at which a demand is repeated, well within {@link #DEMAND_VALIDITY}. */
    static final Duration REPORT_INTERVAL = Duration.ofMillis(400);
    /** Delay in which the demands and observations of one report are collected. */
    static final Duration REPORT_DELAY = Duration.ofMillis(2);
    /** Time in which received permits are used; the report after it confirms the grant and returns the others. */
    static final Duration CONFIRMATION_DELAY = Duration.ofMillis(10);
    /** A grant that a report does not confirm is assumed to be lost after this time. */
    static final long GRANT_DELIVERY = Duration.ofMillis(300).toNanos();
    /** Interval at which limits are repeated to all instances, for those that missed them or have just started. */
    static final Duration NOTICE_INTERVAL = Duration.ofSeconds(2);

    private LimitTiming() {}
}
