package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.coordination.budget.LossTolerance;
import org.basilrill.coordination.engine.EngineClient;
import org.basilrill.coordination.limit.ColdLimits;
import org.basilrill.protocol.dialect.Dialect;
import org.basilrill.state.configuration.RegionTable;
import org.basilrill.state.configuration.RulesFormat;
import org.basilrill.state.configuration.RulesParser;

/**
 * Options of the interfaces of an instance to callers, targets and operators. Immutable and thread safe.
 *
 * @param dialect dialect of these interfaces; empty for the native API
 * @param listingValidity how long callers may use a list of instances; a stopping instance serves for this time
 * @param retries limits of the retries of all instances together
 * @param engines access to engines that execute target orders only in an expected state; empty if the memory ledger in
 *     the control log guards the target orders
 * @param regions regions of the data centres
 * @param forwardsMessages whether the instance passes messages on for others whose links are down
 * @param predictiveRouting whether targets are chosen by the response times learned from them
 * @param lossTolerance tokens that an account may use above its limits when the owner of its bucket is lost
 * @param coldLimits bound of the requests to a cold target; empty if they are not limited
 * @param recoveryPacing whether targets that have just started or were ejected get few requests at first
 * @param rulesInForceWithin time from its acknowledgement in which a change of the rules has to be in force everywhere
 */
public record InterfaceOptions(
        Optional<Dialect> dialect,
        Duration listingValidity,
        RetryLimits retries,
        Optional<EngineAccess> engines,
        RegionTable regions,
        boolean forwardsMessages,
        boolean predictiveRouting,
        LossTolerance lossTolerance,
        Optional<ColdLimits> coldLimits,
        boolean recoveryPacing,
        Duration rulesInForceWithin) {
    /** A time from which on changes are acknowledged as soon as they are committed. */
    public static final Duration DEFAULT_RULES_IN_FORCE_WITHIN = Duration.ofSeconds(3);

    /**
     * Limits of the retries of all instances together, in any period of ten seconds.
     *
     * @param share retries allowed per request
     * @param slack additional retries, divided among the instances
     */
    public record RetryLimits(double share, double slack) {
        /**
         * Fraction of the limits that is used. The rest is a margin: an instance counts other requests than the targets
         * do, and sees changes in the number of instances with a delay.
         */
        private static final double USED_PART = 0.7;

        /** Returns the number of retries that one instance may send. */
        double allowance(long requests, int instances) {
            return USED_PART * (share * requests + slack / Math.max(1, instances));
        }
    }

    /**
     * Access to engines that execute target orders only in an expected state.
     *
     * @param lease time for which target orders of an earlier leader may still arrive
     */
    public record EngineAccess(EngineClient engineClient, Duration lease) {}

    /** Returns the options of the native API. */
    public static InterfaceOptions defaults() {
        return new InterfaceOptions(
                Optional.empty(),
                Duration.ofSeconds(5),
                new RetryLimits(0.15, 180),
                Optional.empty(),
                RegionTable.EMPTY,
                false,
                false,
                LossTolerance.NONE,
                Optional.empty(),
                false,
                DEFAULT_RULES_IN_FORCE_WITHIN);
    }

    /** Returns the same options with a bound of the requests to cold targets. */
    public InterfaceOptions withColdLimits(ColdLimits limits) {
        return new InterfaceOptions(
                dialect,
                listingValidity,
                retries,
                engines,
                regions,
                forwardsMessages,
                predictiveRouting,
                lossTolerance,
                Optional.of(limits),
                recoveryPacing,
                rulesInForceWithin);
    }

    /** Returns the same options with the regions of the data centres. */
    public InterfaceOptions withRegions(RegionTable table) {
        return new InterfaceOptions(
                dialect,
                listingValidity,
                retries,
                engines,
                table,
                forwardsMessages,
                predictiveRouting,
                lossTolerance,
                coldLimits,
                recoveryPacing,
                rulesInForceWithin);
    }

    /** Returns the same options with paces of targets that have just started or were ejected. */
    public InterfaceOptions withRecoveryPacing() {
        return new InterfaceOptions(
                dialect,
                listingValidity,
                retries,
                engines,
                regions,
                forwardsMessages,
                predictiveRouting,
                lossTolerance,
                coldLimits,
                true,
                rulesInForceWithin);
    }

    /** Returns the same options with or without forwarding of messages. */
    public InterfaceOptions withForwarding(boolean enabled) {
        return new InterfaceOptions(
                dialect,
                listingValidity,
                retries,
                engines,
                regions,
                enabled,
                predictiveRouting,
                lossTolerance,
                coldLimits,
                recoveryPacing,
                rulesInForceWithin);
    }

    /** Returns the format of the rules. */
    public RulesFormat rulesFormat() {
        return dialect.map(Dialect::rulesFormat).orElse(RulesParser::parse);
    }
}
