package org.basilrill.scaffold.virtual;

import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;

/**
 * One request that the target received and executed.
 *
 * @param leavingNanos time for which the target had been leaving; negative if it was not leaving
 */
public record TargetExecution(
        TargetId target, InstanceId sender, String requestId, String body, long nanos, long leavingNanos) {}
