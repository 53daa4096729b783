package org.basilrill.state.control;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.basilrill.api.AccountId;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.state.control.ControlCommand.AssignBucket;
import org.basilrill.state.control.ControlResult.BucketHeld;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.state.control.ControlView.BucketOwner;
import org.basilrill.thrift.control.BucketState;

/**
 * Owner of each client account's token bucket. The epoch of a bucket only grows. An owner whose session is open loses
 * its bucket only by handing over its level, so two owners never issue grants at once. Owners of accounts that no
 * longer have a rule are kept, so that the epoch does not restart if the account gets a rule again. Not thread safe.
 */
final class BucketOwners {
    private final TreeMap<AccountId, BucketOwner> owners = new TreeMap<>();

    /** Returns the owners as a live map. */
    Map<AccountId, BucketOwner> owners() {
        return owners;
    }

    /** Returns the owner after the command, which is the requesting instance only if the command took effect. */
    ControlResult assign(AssignBucket command, Sessions sessions) {
        BucketOwner current = owners.get(command.account());
        long epoch = current == null ? 0 : current.epoch();
        if (epoch != command.expectedEpoch() && current != null) {
            return new BucketHeld(current.owner(), current.epoch());
        }
        if (epoch != command.expectedEpoch()) {
            return new Refused(ErrorCode.REVISION_CONFLICT, "the bucket has no owner; its epoch is 0");
        }
        if (!sessions.isOpen(command.owner(), command.sessionId())) {
            return new Refused(ErrorCode.INSTANCE_NOT_CURRENT, "the session of the new owner is not open");
        }
        boolean ownerActive = current != null && sessions.isOpen(current.owner(), current.sessionId());
        if (ownerActive && command.handedOverTokens() <= 0) {
            return new BucketHeld(current.owner(), current.epoch());
        }
        // A level handed over by an owner whose session has ended may be out of date. A bucket that never had an owner
        // has no grants that could have been spent, so it starts with the level that its first owner states.
        long startTokens = ownerActive || current == null ? command.handedOverTokens() : 0;
        BucketOwner next = new BucketOwner(command.owner(), command.sessionId(), epoch + 1, startTokens);
        owners.put(command.account(), next);
        return new BucketHeld(next.owner(), next.epoch());
    }

    List<BucketState> state() {
        return ViewCodec.buckets(owners);
    }

    void restore(List<BucketState> state) {
        owners.clear();
        for (BucketState bucket : state) {
            BucketOwner owner = new BucketOwner(
                    new InstanceId(bucket.getOwner()),
                    bucket.getSessionId(),
                    bucket.getEpoch(),
                    bucket.getStartTokens());
            owners.put(new AccountId(bucket.getAccount()), owner);
        }
    }
}
