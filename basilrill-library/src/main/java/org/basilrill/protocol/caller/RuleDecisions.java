package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.control.ControlClient;

/**
 * Checks that the rules are confirmed before a request is accepted or denied by them. Callers take a denial as final,
 * so it must not follow from rules that acknowledged ones have replaced. Thread safe.
 */
public final class RuleDecisions {
    /**
     * Age of the confirmation from which on no request is denied. Shorter than the 2 s after which an acknowledged change
     * must be in force, and longer than two pulls.
     */
    static final Duration DENIAL_FRESHNESS_BOUND = Duration.ofMillis(1_500);

    /** Another instance may serve the request immediately; the delay avoids a second refusal by this instance. */
    private static final Duration RETRY_ELSEWHERE_DELAY = Duration.ofMillis(500);

    /** Refusals that follow from the rules and that other rules may lift. */
    private static final Set<ErrorCode> DENIALS = EnumSet.of(
            ErrorCode.KEY_MISSING,
            ErrorCode.KEY_UNKNOWN,
            ErrorCode.FORBIDDEN,
            ErrorCode.NOT_FOUND,
            ErrorCode.UNKNOWN_MODEL);

    private final ControlClient control;

    public RuleDecisions(ControlClient control) {
        this.control = control;
    }

    /**
     * Returns the result of a decision by the rules.
     *
     * @throws BasilrillException with {@code INSTANCE_NOT_CURRENT} in place of a denial by rules that are not confirmed
     */
    public <T> T decide(Supplier<T> decision) {
        try {
            return decision.get();
        } catch (BasilrillException failure) {
            if (DENIALS.contains(failure.code()) && !mayDeny()) {
                throw notCurrent();
            }
            throw failure;
        }
    }

    /** Throws {@code INSTANCE_NOT_CURRENT} unless requests may be accepted by the rules. */
    void requireCurrent() {
        if (!control.isCurrent()) {
            throw notCurrent();
        }
    }

    /** Returns the revision of the rules and the age of their confirmation, for the log. */
    String describe() {
        String age = control.confirmationAge()
                .map(confirmed -> "confirmed " + confirmed.toMillis() + " ms ago")
                .orElse("not confirmed");
        return "rules " + control.view().rules().revision() + " " + age;
    }

    private boolean mayDeny() {
        Optional<Duration> age = control.confirmationAge();
        return control.isCurrent()
                && age.filter(confirmed -> confirmed.compareTo(DENIAL_FRESHNESS_BOUND) < 0)
                        .isPresent();
    }

    private static BasilrillException notCurrent() {
        return new BasilrillException(
                        ErrorCode.INSTANCE_NOT_CURRENT, "this instance cannot confirm its rules; use another one")
                .withRetryAfter(RETRY_ELSEWHERE_DELAY);
    }
}
