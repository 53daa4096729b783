package org.basilrill.coordination.budget;

import java.util.Map;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;

/**
 * Budget of one account as known at this instance, for the administration API. Immutable and thread safe.
 *
 * @param owner instance that owns the bucket; empty if unknown
 * @param epoch epoch of that owner; 0 if unknown
 * @param bucket state of the bucket; present only at the owner
 * @param unspentTokens unspent tokens of the grants of this instance
 * @param queuedRequests queued requests that wait for a grant of the owner
 */
public record BudgetSnapshot(
        AccountId account,
        Optional<InstanceId> owner,
        long epoch,
        Optional<Bucket> bucket,
        long unspentTokens,
        int queuedRequests) {
    /**
     * State of the bucket at its owner, in tokens.
     *
     * @param outstanding unspent tokens by instance, as far as reported to the owner; grants of earlier epochs count
     *     toward the owner
     */
    public record Bucket(long level, long burst, Map<InstanceId, Long> outstanding) {
        public Bucket {
            outstanding = Map.copyOf(outstanding);
        }
    }
}
