package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.coordination.budget.LossTolerance;
import org.basilrill.coordination.engine.EngineOrders;
import org.basilrill.protocol.dialect.Dialect;
import org.basilrill.state.configuration.RulesFormat;
import org.basilrill.state.configuration.RulesParser;

/**
 * How an instance deals with callers, targets and operators. Immutable and thread safe.
 *
 * @param dialect how they speak, if not in the product's own interface
 * @param listingValidity how long callers may use the list of instances; a stop goes on serving for as long
 * @param retries retries that all instances together may make
 * @param engines how engines are ordered that carry out orders only in an expected state; the memory ledger in the
 *     control log guards the orders to other engines
 * @param lossTolerance what an account may spend above its limits when the owner of its bucket is lost
 */
public record OutsideOptions(
        Optional<Dialect> dialect,
        Duration listingValidity,
        RetryLimits retries,
        Optional<EngineAccess> engines,
        LossTolerance lossTolerance) {
    /**
     * Limits of the retries of all instances together, in any ten seconds.
     *
     * @param share retries allowed for each request
     * @param slack retries allowed besides, shared by the instances
     */
    public record RetryLimits(double share, double slack) {
        /**
         * Part of the limits that is used. The rest covers that an instance sees other requests than the targets, and
         * that the number of instances is known late.
         */
        private static final double USED_PART = 0.7;

        /** Returns the retries that one instance may make. */
        double allowance(long requests, int instances) {
            return USED_PART * (share * requests + slack / Math.max(1, instances));
        }
    }

    /**
     * Access to engines that carry out orders only in an expected state.
     *
     * @param lease time for which the orders of an earlier leader may still arrive
     */
    public record EngineAccess(EngineOrders orders, Duration lease) {}

    /** Returns the options of the product's own interface. */
    public static OutsideOptions defaults() {
        return new OutsideOptions(
                Optional.empty(),
                Duration.ofSeconds(5),
                new RetryLimits(0.15, 180),
                Optional.empty(),
                LossTolerance.NONE);
    }

    /** Returns the format of the rules. */
    public RulesFormat rulesFormat() {
        return dialect.map(Dialect::rulesFormat).orElse(RulesParser::parse);
    }
}
