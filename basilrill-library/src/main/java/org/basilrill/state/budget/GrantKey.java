package org.basilrill.state.budget;

import org.basilrill.api.InstanceId;

/**
 * Identifies one grant within an epoch of a bucket. Immutable and thread safe.
 *
 * @param incarnation random number of the requesting process
 * @param requestNumber number of the grant request that the grant results from
 */
public record GrantKey(InstanceId requester, long incarnation, long requestNumber) {}
