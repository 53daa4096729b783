package org.basilrill.state.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.Outcome;
import org.basilrill.thrift.control.ClaimPhase;
import org.basilrill.thrift.control.ClaimState;

/**
 * State of the claim of one order. Immutable.
 *
 * @param fingerprint fingerprint of the request; empty while only the ends of attempts have been applied
 * @param attempt the attempt that holds the claim, or held it last
 * @param releasedAttempts latest attempts that ended without running anything; they are never granted again
 * @param outcome present once the order has finished
 */
record Claim(
        String fingerprint,
        ClaimPhase phase,
        String attempt,
        InstanceId instance,
        long sessionId,
        long changedMillis,
        List<String> releasedAttempts,
        Optional<Outcome> outcome,
        Optional<RecordedResponse> response) {
    /** Number of released attempts retained, to recognise their delayed or repeated claims, which are seconds late. */
    private static final int MAXIMUM_RELEASED = 32;

    /** Placeholder for the instance of a claim that was never granted; no session has this name and the id 0. */
    private static final InstanceId NO_INSTANCE = new InstanceId("none");

    Claim {
        releasedAttempts = List.copyOf(releasedAttempts);
    }

    static Claim granted(ControlCommand.ClaimOrder command, List<String> released, long nowMillis) {
        return new Claim(
                command.fingerprint(),
                ClaimPhase.RUNNING,
                command.attempt(),
                command.instance(),
                command.sessionId(),
                nowMillis,
                released,
                Optional.empty(),
                Optional.empty());
    }

    /** Returns a claim that no attempt holds and that refuses the given attempt. */
    static Claim refusing(String attempt, long nowMillis) {
        return new Claim(
                "",
                ClaimPhase.RELEASED,
                attempt,
                NO_INSTANCE,
                0,
                nowMillis,
                List.of(attempt),
                Optional.empty(),
                Optional.empty());
    }

    /** Returns this claim, refusing the attempt of the command from now on; that attempt does not hold the claim. */
    Claim refusing(ControlCommand.FinishOrder command, long nowMillis) {
        return ended(phase, nowMillis, releasedWith(command.attempt()), outcome, response);
    }

    /** Returns whether the claim is known to be for a request with a different fingerprint. */
    boolean contradicts(String other) {
        return !fingerprint.isEmpty() && !fingerprint.equals(other);
    }

    Claim withUnknownOutcome(long nowMillis) {
        return ended(ClaimPhase.UNKNOWN, nowMillis, releasedAttempts, Optional.empty(), Optional.empty());
    }

    Claim finished(Outcome result, Optional<RecordedResponse> recorded, long nowMillis) {
        return ended(ClaimPhase.FINISHED, nowMillis, releasedAttempts, Optional.of(result), recorded);
    }

    Claim released(long nowMillis) {
        return ended(ClaimPhase.RELEASED, nowMillis, releasedWith(attempt), Optional.empty(), Optional.empty());
    }

    /** Returns the claim with the status of its response but without the body. */
    Claim withoutBody() {
        return ended(phase, changedMillis, releasedAttempts, outcome, response.map(Claim::withoutBody));
    }

    int bodyBytes() {
        return response.map(recorded -> recorded.body().length).orElse(0);
    }

    ClaimState state(AccountId account, String idempotencyKey) {
        ClaimState state = new ClaimState(
                account.value(),
                idempotencyKey,
                fingerprint,
                phase,
                attempt,
                instance.value(),
                sessionId,
                changedMillis,
                releasedAttempts);
        outcome.map(WireEnums::toWire).ifPresent(state::setOutcome);
        response.map(WireEnums::toWire).ifPresent(state::setAnswer);
        return state;
    }

    static Claim fromState(ClaimState state) {
        return new Claim(
                state.getFingerprint(),
                state.getPhase(),
                state.getAttempt(),
                new InstanceId(state.getInstance()),
                state.getSessionId(),
                state.getChangedMillis(),
                state.getReleasedAttempts(),
                Optional.ofNullable(state.getOutcome()).map(WireEnums::fromWire),
                WireEnums.fromWire(state.getAnswer()));
    }

    static RecordedResponse withoutBody(RecordedResponse recorded) {
        return new RecordedResponse(recorded.status(), recorded.contentType(), new byte[0], false);
    }

    private List<String> releasedWith(String ended) {
        List<String> released = new ArrayList<>(releasedAttempts);
        released.add(ended);
        return released.subList(Math.max(0, released.size() - MAXIMUM_RELEASED), released.size());
    }

    private Claim ended(
            ClaimPhase next,
            long nowMillis,
            List<String> released,
            Optional<Outcome> result,
            Optional<RecordedResponse> recorded) {
        return new Claim(fingerprint, next, attempt, instance, sessionId, nowMillis, released, result, recorded);
    }
}
