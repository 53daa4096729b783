package org.basilrill.state.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.Outcome;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.SuspectId;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/** A command to the control log. Every command is idempotent: applying it twice gives the same result and state. */
public sealed interface ControlCommand {
    /**
     * Replaces the rules by compare-and-set on the revision.
     *
     * @param text complete rules file
     * @param operator name of the operator who requested the change
     */
    record ReplaceRules(long expectedRevision, String text, String operator) implements ControlCommand {}

    /**
     * Installs rules under a revision number chosen by the operator, if it is the highest so far. Valid rules with a
     * number that is not higher are accepted and change nothing, so a repeated or overtaken change is never refused.
     *
     * @param text complete rules file
     * @param operator name of the operator who requested the change
     */
    record InstallRules(long revision, String text, String operator) implements ControlCommand {}

    /**
     * Claims the right to run an order.
     *
     * @param idempotencyKey key given by the caller
     * @param fingerprint SHA-256 of the request, to detect one key used for two different requests
     * @param attempt unique name of this attempt, by which a repeated claim is recognised
     * @param sessionId session of the claiming instance; the claim's outcome is unknown once that session has expired
     * @param nowMillis wall-clock time of the submitter, used for expiry only
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
            AccountId account,
            String idempotencyKey,
            String attempt,
            Outcome outcome,
            Optional<RecordedResponse> response)
            implements ControlCommand {}

    /** Makes an instance the owner of a client account's token bucket if the epoch is still the expected one. */
    record AssignBucket(AccountId account, InstanceId owner, long sessionId, long expectedEpoch, long handedOverTokens)
            implements ControlCommand {}

    /**
     * Reserves accelerator memory and records a target order before it is sent to the target.
     *
     * @param model model or adapter that the order concerns
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

    /** Records the outcome of a target order. */
    record ResolveOrder(String orderId, OrderOutcome outcome) implements ControlCommand {}

    /** Reconciles the memory ledger with the state that a target reports. */
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

    /**
     * Records that a target was lost while it ran the request with this fingerprint. Proposed, like the other records
     * of prompt parts, only while replicas may run that do not know {@link ReportCrashEvidence}.
     *
     * @param nowMillis wall-clock time, set by the leader
     * @param promptParts parts of the prompt that other requests may contain; empty once a response had begun
     * @param runningMillis time since the request was sent to the target
     */
    record ReportCrash(
            String fingerprint,
            TargetId target,
            long targetIncarnation,
            long nowMillis,
            List<PromptPartId> promptParts,
            long runningMillis)
            implements ControlCommand {
        public ReportCrash {
            promptParts = List.copyOf(promptParts);
        }

        /** Creates a report of a request without shared prompt parts. */
        public ReportCrash(String fingerprint, TargetId target, long targetIncarnation, long nowMillis) {
            this(fingerprint, target, targetIncarnation, nowMillis, List.of(), 0);
        }
    }

    /**
     * Reports responses that began, as evidence that parts of their prompts crash no targets.
     *
     * @param nowMillis wall-clock time, set by the leader
     */
    record ReportPartAnswers(List<PartAnswer> answers, long nowMillis) implements ControlCommand {
        public ReportPartAnswers {
            answers = List.copyOf(answers);
        }
    }

    /** The age of the last response that began to a request with a prompt part. */
    record PartAnswer(PromptPartId part, long ageMillis) {}

    /**
     * Requests permission to send one request with a blocked prompt part, to find out whether it still crashes targets.
     *
     * @param nowMillis wall-clock time, set by the leader
     */
    record RequestPartTrial(PromptPartId part, long nowMillis) implements ControlCommand {}

    /** Discards the crashes that count against a prompt part, by order of an operator. */
    record ReleasePart(PromptPartId part) implements ControlCommand {}

    /**
     * Reports requests that were lost because their targets crashed, and responses to requests with suspects.
     *
     * @param nowMillis wall-clock time, set by the leader
     */
    record ReportCrashEvidence(List<LostRequest> lost, List<SuspectAnswer> answers, long nowMillis)
            implements ControlCommand {
        public ReportCrashEvidence {
            lost = List.copyOf(lost);
            answers = List.copyOf(answers);
        }
    }

    /**
     * A request that was lost because its target crashed.
     *
     * @param version software version of the target, if it announces one
     * @param ageMillis time since the loss
     * @param runningMillis time from the sending of the request to the loss
     * @param suspects what may have crashed the target
     */
    record LostRequest(
            TargetId target,
            long targetIncarnation,
            Optional<String> version,
            long ageMillis,
            long runningMillis,
            List<SuspectId> suspects) {
        public LostRequest {
            suspects = List.copyOf(suspects);
        }
    }

    /**
     * The last response to a request with a suspect.
     *
     * @param ageMillis time since the request was sent, or for a prompt part since the response began
     * @param softwareVersion software version of the target, if it announces one
     */
    record SuspectAnswer(SuspectId suspect, long ageMillis, Optional<String> softwareVersion) {}

    /**
     * Requests permission to send one request with a blocked suspect, to find out whether it still crashes targets.
     * Only one such permission is open at a time.
     *
     * @param nowMillis wall-clock time, set by the leader
     */
    record RequestTrial(SuspectId suspect, long nowMillis) implements ControlCommand {}

    /** Discards the crashes that count against a suspect, by order of an operator. */
    record ReleaseSuspect(SuspectId suspect) implements ControlCommand {}

    /** Registers a software version of a service before a stream begins at it. */
    record RegisterVersion(String service, String version) implements ControlCommand {}

    /**
     * Records that no target of a service has a software version any more.
     *
     * @param nowMillis wall-clock time, set by the leader
     */
    record RetireVersion(String service, String version, long nowMillis) implements ControlCommand {}

    /**
     * Records which software versions began streams.
     *
     * @param nowMillis wall-clock time, set by the leader
     */
    record RecordStreams(List<StreamRecord> streams, long nowMillis) implements ControlCommand {
        public RecordStreams {
            streams = List.copyOf(streams);
        }
    }

    /**
     * The software version that began a stream.
     *
     * @param requestId id of the request that brought the first event
     */
    record StreamRecord(String requestId, String service, String version) {}

    /**
     * Finds the software version that began a stream.
     *
     * @param windowMillis versions that were retired before this time cannot have begun the stream
     * @param nowMillis wall-clock time, set by the leader
     */
    record FindStream(Optional<String> firstRequestId, String service, long windowMillis, long nowMillis)
            implements ControlCommand {}

    /**
     * Begins the evacuation of a data centre: no further request is sent to the targets there.
     *
     * @param attempt random number of the operator's call; a command with the same number as an earlier one has no
     *     effect, so that a command that the client repeats does not undo a later call
     */
    record BeginEvacuation(String dataCentre, long attempt) implements ControlCommand {}

    /**
     * Ends the evacuation of a data centre.
     *
     * @param attempt random number of the operator's call; see {@link BeginEvacuation}
     */
    record EndEvacuation(String dataCentre, long attempt) implements ControlCommand {}

    /** Opens a session for an instance; a newer session of the same instance expires the older one. */
    record RegisterSession(InstanceId instance, long sessionId) implements ControlCommand {}

    /** Expires a session whose instance was unresponsive for the session timeout. */
    record ExpireSession(InstanceId instance, long sessionId) implements ControlCommand {}
}
