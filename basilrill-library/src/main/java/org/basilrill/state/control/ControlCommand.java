package org.basilrill.state.control;

import java.util.Map;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.Outcome;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/** A command to the control log. Every command is idempotent: applying it twice gives the same answer and state. */
public sealed interface ControlCommand {
    /**
     * Replaces the rules by compare-and-set on the revision.
     *
     * @param text complete rules file
     * @param operator name of the operator who asked
     */
    record ReplaceRules(long expectedRevision, String text, String operator) implements ControlCommand {}

    /**
     * Makes a revision that the operator numbered the rules in force, if it is the highest so far. A revision that is
     * not higher changes nothing and is accepted, so a repeated or overtaken change is never refused.
     *
     * @param text complete rules file
     * @param operator name of the operator who asked
     */
    record InstallRules(long revision, String text, String operator) implements ControlCommand {}

    /**
     * Claims the right to run an order.
     *
     * @param idempotencyKey key given by the caller
     * @param fingerprint SHA-256 of the request, to detect one key used for two different requests
     * @param attempt unique number of this attempt, so that a repeated claim is recognised
     * @param sessionId session of the claiming instance; the claim's outcome is unknown once that session has expired
     * @param nowMillis wall-clock time of the submitter, for expiry only
     */
    record ClaimOrder(
            AccountId account,
            String idempotencyKey,
            String fingerprint,
            String attempt,
            InstanceId instance,
            long sessionId,
            long nowMillis)
            implements ControlCommand {}

    /** Records the outcome of an order; accepted only from the attempt that holds the claim. */
    record FinishOrder(
            AccountId account, String idempotencyKey, String attempt, Outcome outcome, Optional<RecordedAnswer> answer)
            implements ControlCommand {}

    /** Makes an instance the owner of a client account's token bucket if the epoch is still the expected one. */
    record AssignBucket(AccountId account, InstanceId owner, long sessionId, long expectedEpoch, long handedOverTokens)
            implements ControlCommand {}

    /**
     * Reserves accelerator memory and records the intent of an order before it is sent to the target.
     *
     * @param model what to load, unload or change
     * @param version version to load; ignored by an unload
     * @param bytes memory that the target may use while the order is open
     */
    record IntendOrder(
            TargetId target,
            long targetIncarnation,
            String orderId,
            OrderKind kind,
            ModelId model,
            int version,
            long bytes)
            implements ControlCommand {}

    /** Records what became of an order at its target. */
    record ResolveOrder(String orderId, OrderOutcome outcome) implements ControlCommand {}

    /** Reconciles the memory ledger with what a target reports about itself. */
    record ObserveTarget(
            TargetId target,
            long incarnation,
            long memoryBytes,
            Map<ModelId, LoadedModel> contents,
            boolean enforcesFencing)
            implements ControlCommand {
        public ObserveTarget {
            contents = Map.copyOf(contents);
        }
    }

    /** Records that a target was lost while it ran the request with this fingerprint. */
    record ReportCrash(String fingerprint, TargetId target, long targetIncarnation, long nowMillis)
            implements ControlCommand {}

    /** Opens a session for an instance; a newer session of the same instance expires the older one. */
    record RegisterSession(InstanceId instance, long sessionId) implements ControlCommand {}

    /** Expires a session whose instance has not been heard of for the session timeout. */
    record ExpireSession(InstanceId instance, long sessionId) implements ControlCommand {}
}
