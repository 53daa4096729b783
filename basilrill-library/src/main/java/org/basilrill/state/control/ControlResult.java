package org.basilrill.state.control;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.SuspectId;

/** Result of applying a command to the control state machine. Immutable and thread safe. */
public sealed interface ControlResult {
    /** The command took effect, or had taken effect before, and has no further result. */
    record Done() implements ControlResult {}

    /** The rules were accepted under this revision. */
    record RulesAccepted(long revision) implements ControlResult {}

    /** Other rules were accepted first. */
    record RulesConflict(long currentRevision, String winner) implements ControlResult {}

    /** The attempt holds the claim and may run the order. */
    record OrderGranted() implements ControlResult {}

    /** Another attempt holds the claim and may still be running. */
    record OrderRunning(InstanceId holder) implements ControlResult {}

    /** The order has ended. The response is absent if the outcome is unknown or the response was not recorded. */
    record OrderFinished(org.basilrill.api.Outcome outcome, Optional<RecordedResponse> response)
            implements ControlResult {}

    /** The instance has owned the bucket since this epoch. */
    record BucketHeld(InstanceId owner, long epoch) implements ControlResult {}

    /** The memory is reserved; the target order may be sent with this fencing number. */
    record OrderReserved(long fencingNumber) implements ControlResult {}

    /**
     * The consequences of a reported crash.
     *
     * @param targets number of distinct targets lost during requests with the fingerprint
     * @param blockedParts reported prompt parts that are blocked
     */
    record CrashCount(int targets, List<PromptPartId> blockedParts) implements ControlResult {
        public CrashCount {
            blockedParts = List.copyOf(blockedParts);
        }

        /** Creates a result without blocked prompt parts. */
        public CrashCount(int targets) {
            this(targets, List.of());
        }
    }

    /**
     * The consequences of reported losses.
     *
     * @param refusing for each lost request, in the order of the report, the blocked suspects because of which it is
     *     refused
     */
    record CrashVerdicts(List<List<SuspectId>> refusing) implements ControlResult {
        public CrashVerdicts {
            refusing = refusing.stream().map(List::copyOf).toList();
        }
    }

    /** The software version that began a stream; empty if it is unknown. */
    record StreamVersion(Optional<String> version) implements ControlResult {}

    /** The command had no effect. */
    record Refused(ErrorCode code, String detail) implements ControlResult {}
}
