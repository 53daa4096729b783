package org.basilrill.coordination.budget;

import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.LongConsumer;
import org.basilrill.coordination.admission.TokenAdmission;

/** A charge that refunds its unused tokens at most once. Thread safe. */
final class TokenCharge implements TokenAdmission.Charge {
    private final long tokens;
    private final LongConsumer refund;
    private final AtomicBoolean settled = new AtomicBoolean();

    TokenCharge(long tokens, LongConsumer refund) {
        this.tokens = tokens;
        this.refund = refund;
    }

    @Override
    public long tokens() {
        return tokens;
    }

    @Override
    public void settle(long usedTokens) {
        if (!settled.compareAndSet(false, true)) {
            return;
        }
        long unused = Math.min(tokens, tokens - usedTokens);
        if (unused > 0) {
            refund.accept(unused);
        }
    }
}
