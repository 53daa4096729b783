package org.basilrill.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.basilrill.coordination.limit.ColdLimits;
import org.basilrill.state.configuration.RegionTable;

/**
 * Settings of the interfaces to callers, targets and operators, and of the founding of a cluster. Immutable and thread
 * safe.
 *
 * @param dialect name of the dialect that callers, targets and operators use; basilrill's own API if absent
 * @param ownAddresses additional addresses for targets and operators; empty if they use the caller address
 * @param metricsAddress additional address for monitoring, besides the caller address
 * @param relayAddress address at which other instances send exchanges with targets that this one carries for them; if
 *     absent, it carries none and has none carried
 * @param foundsCluster whether the instance may found a new cluster at this start
 * @param listingValidity how long callers may cache the list of instances
 * @param listedInstances maximum number of instances in one list, if the dialect limits the number
 * @param staleListingWait how long a graceful stop continues to accept requests, for callers with an older list cached
 * @param announcementValidity how long an announcement of a target is valid if it states no validity itself
 * @param retryShare retries allowed per request, over all instances
 * @param retrySlack additional retries allowed in any ten seconds, over all instances
 * @param orderLease how long target orders of an earlier leader may still reach engines
 * @param regions regions of the data centres
 * @param peerForwarding whether messages to instances whose links are down are passed on by others
 * @param predictiveRouting whether targets are chosen by the response times learned from them
 * @param lossToleranceTokens tokens that a client account may spend above its limits, in any window that the limits
 *     apply to, after the loss of the instance that owned its bucket
 * @param coldRateOverage factor by which the requests to a cold target in a second, from all instances, may exceed its
 *     rate; cold targets are limited only if this is set
 * @param coldRateSlack requests to a cold target that are allowed in any second besides; none if absent
 * @param recoveryPacing whether targets that have just started or were ejected get few requests at first
 * @param rulesInForceWithin time from its acknowledgement in which a change of the rules has to be in force everywhere
 */
public record InterfaceSettings(
        Optional<String> dialect,
        List<InetSocketAddress> ownAddresses,
        Optional<InetSocketAddress> metricsAddress,
        Optional<InetSocketAddress> relayAddress,
        boolean foundsCluster,
        Duration listingValidity,
        Duration staleListingWait,
        int listedInstances,
        Duration announcementValidity,
        double retryShare,
        double retrySlack,
        Duration orderLease,
        RegionTable regions,
        boolean peerForwarding,
        boolean predictiveRouting,
        long lossToleranceTokens,
        Optional<Double> coldRateOverage,
        Optional<Double> coldRateSlack,
        boolean recoveryPacing,
        Duration rulesInForceWithin) {
    public static final Duration DEFAULT_LISTING_VALIDITY = Duration.ofSeconds(5);
    public static final Duration DEFAULT_ANNOUNCEMENT_VALIDITY = Duration.ofSeconds(5);
    public static final double DEFAULT_RETRY_SHARE = 0.15;
    public static final double DEFAULT_RETRY_SLACK = 180;
    public static final int DEFAULT_LISTED_INSTANCES = 64;
    public static final Duration DEFAULT_ORDER_LEASE = Duration.ofSeconds(3);

    public InterfaceSettings {
        ownAddresses = List.copyOf(ownAddresses);
    }

    /** Returns the bound of the requests to a cold target; empty if they are not limited. */
    public Optional<ColdLimits> coldLimits() {
        return coldRateOverage.map(overage -> new ColdLimits(overage, coldRateSlack.orElse(0.0)));
    }
}
