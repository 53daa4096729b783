package org.basilrill.daemon.settings;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;

/**
 * How an instance finds the others, and how callers, targets and operators speak to it. Immutable and thread safe.
 *
 * @param dialect name of the dialect; the product's own interface if absent
 * @param ownAddresses addresses for targets and operators, if they differ from that of the callers
 * @param metricsAddress address for those who watch the instance, beside that of the callers
 * @param foundsCluster whether this start may found a new cluster
 * @param listingValidity how long callers may use the list of instances
 * @param listedInstances instances that one list names at most, where the dialect bounds it
 * @param staleListingWait how long a stop goes on taking requests of callers that still hold an older list
 * @param announcementValidity how long an announcement of a target holds that states no time itself
 * @param retryShare retries allowed for each request, over all instances
 * @param retrySlack retries allowed besides in ten seconds, over all instances
 * @param orderLease time for which the orders of an earlier leader may still reach engines
 * @param lossToleranceTokens tokens that an account may spend above its limits, in any window of them, because the
 *     owner of its bucket was lost
 */
public record OutsideSettings(
        Optional<String> dialect,
        List<InetSocketAddress> ownAddresses,
        Optional<InetSocketAddress> metricsAddress,
        boolean foundsCluster,
        Duration listingValidity,
        Duration staleListingWait,
        int listedInstances,
        Duration announcementValidity,
        double retryShare,
        double retrySlack,
        Duration orderLease,
        long lossToleranceTokens) {
    public static final Duration DEFAULT_LISTING_VALIDITY = Duration.ofSeconds(5);
    public static final Duration DEFAULT_ANNOUNCEMENT_VALIDITY = Duration.ofSeconds(5);
    public static final double DEFAULT_RETRY_SHARE = 0.15;
    public static final double DEFAULT_RETRY_SLACK = 180;
    public static final int DEFAULT_LISTED_INSTANCES = 64;
    public static final Duration DEFAULT_ORDER_LEASE = Duration.ofSeconds(3);

    public OutsideSettings {
        ownAddresses = List.copyOf(ownAddresses);
    }
}
