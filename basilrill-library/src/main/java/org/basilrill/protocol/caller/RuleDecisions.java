package org.basilrill.protocol.caller;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlView;

/**
 * Checks that the rules are confirmed before a request is accepted or denied by them. Callers take a denial as final,
 * so it must not follow from rules that acknowledged ones have replaced. Thread safe.
 */
public final class RuleDecisions {
    /**
     * Age of the confirmation from which on no request is denied; longer than two pulls. An instance of an earlier
     * release acknowledges a change when it is committed, so a denial, which callers take as final, needs a more recent
     * confirmation than an acceptance.
     */
    static final Duration DENIAL_FRESHNESS_BOUND = Duration.ofMillis(1_200);

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
     * Returns the result of a decision by the rules of a view.
     *
     * @param view view that the decision uses
     * @throws BasilrillException with {@code INSTANCE_NOT_CURRENT} in place of a denial by rules that are not confirmed
     */
    public <T> T decide(ControlView view, Supplier<T> decision) {
        try {
            return decision.get();
        } catch (BasilrillException failure) {
            if (DENIALS.contains(failure.code()) && !mayDeny(view)) {
                throw notCurrent();
            }
            throw failure;
        }
    }

    /** Throws {@code INSTANCE_NOT_CURRENT} unless requests may be accepted by the rules. */
    public void requireCurrent() {
        if (!control.isCurrent()) {
            throw notCurrent();
        }
    }

    /** Returns the revision of the rules and the age of their confirmation, for the log. */
    public String describe() {
        String age = control.confirmationAge()
                .map(confirmed -> "confirmed " + confirmed.toMillis() + " ms ago")
                .orElse("not confirmed");
        return "rules " + control.view().rules().revision() + " " + age;
    }

    /** Reads the view in force last: the confirmation may be of one that was installed during the decision. */
    private boolean mayDeny(ControlView view) {
        Optional<Duration> age = control.confirmationAge();
        return control.isCurrent()
                && age.filter(confirmed -> confirmed.compareTo(DENIAL_FRESHNESS_BOUND) < 0)
                        .isPresent()
                && control.view().rules().revision() == view.rules().revision();
    }

    private static BasilrillException notCurrent() {
        return new BasilrillException(
                        ErrorCode.INSTANCE_NOT_CURRENT, "this instance cannot confirm its rules; use another one")
                .withRetryAfter(RETRY_ELSEWHERE_DELAY);
    }
}
