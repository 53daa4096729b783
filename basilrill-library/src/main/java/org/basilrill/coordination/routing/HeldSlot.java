package org.basilrill.coordination.routing;

import org.basilrill.state.target.TargetAnnouncement;

/**
 * A slot taken at a target; given back once through {@link TargetRouter#release}. Immutable and thread safe.
 *
 * @param target the announcement the choice was based on
 * @param probe whether the request tests a target that was ejected
 * @param number counts the requests sent to the target
 * @param sentNanos when the slot was taken
 * @param pendingTokens prompt tokens that the target probably has to read before the answer begins
 */
public record HeldSlot(
        TargetAnnouncement target, TargetState state, boolean probe, long number, long sentNanos, long pendingTokens) {}
