package org.basilrill.coordination.routing;

import java.util.Optional;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * A slot acquired at a target; must be released once through {@link TargetRouter#release}. Immutable and thread safe.
 *
 * @param target the announcement on which the choice was based
 * @param probe whether the request probes an ejected target
 * @param number number of the request, counted per target
 * @param sentNanos time at which the slot was acquired
 * @param pendingTokens estimated prompt tokens that the target processes before the response begins
 * @param timing what was forecast for the request; empty if nothing is forecast
 */
public record AcquiredSlot(
        TargetAnnouncement target,
        TargetState state,
        boolean probe,
        long number,
        long sentNanos,
        long pendingTokens,
        Optional<TargetTimings.Sent> timing) {}
