package org.basilrill.transport.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Settings of the listener for callers. Immutable and thread safe.
 *
 * @param address address to bind; port 0 takes a free one
 * @param headerWait longest time for a head once its first byte is there, and longest silence within a body
 * @param idleLimit longest time a connection may wait for its next request
 * @param maximumBodyBytes longest body of a request
 * @param maximumHeldBytes bytes of request bodies held together; beyond it requests are refused
 * @param maximumHeadBytes longest request line with header fields
 * @param ownAddresses addresses for what the instance serves itself; if there are any, all requests at the other
 *     address are for targets
 * @param metricsAddress address for those who watch the instance, at which no request for a target is taken
 */
public record GatewaySettings(
        InetSocketAddress address,
        int ioThreads,
        Duration headerWait,
        Duration idleLimit,
        int maximumBodyBytes,
        long maximumHeldBytes,
        int maximumHeadBytes,
        List<InetSocketAddress> ownAddresses,
        Optional<InetSocketAddress> metricsAddress) {
    /** A body is copied once while it grows and once to the target, so this share becomes at most three eighths. */
    private static final int SHARE_OF_HEAP = 8;

    public GatewaySettings {
        ownAddresses = List.copyOf(ownAddresses);
    }

    /** Creates settings of a listener at whose address everything is served. */
    public GatewaySettings(
            InetSocketAddress address,
            int ioThreads,
            Duration headerWait,
            Duration idleLimit,
            int maximumBodyBytes,
            long maximumHeldBytes,
            int maximumHeadBytes) {
        this(
                address,
                ioThreads,
                headerWait,
                idleLimit,
                maximumBodyBytes,
                maximumHeldBytes,
                maximumHeadBytes,
                List.of(),
                Optional.empty());
    }

    /** Returns all addresses to listen at besides that of the callers. */
    List<InetSocketAddress> otherAddresses() {
        return Stream.concat(ownAddresses.stream(), metricsAddress.stream()).toList();
    }

    /** Returns whether callers have an address of their own, at which all requests are for targets. */
    boolean separatesCallers() {
        return !ownAddresses.isEmpty();
    }

    /** Returns the same settings with addresses at which only the instance itself answers. */
    public GatewaySettings withOwnAddresses(List<InetSocketAddress> addresses, Optional<InetSocketAddress> metrics) {
        return new GatewaySettings(
                address,
                ioThreads,
                headerWait,
                idleLimit,
                maximumBodyBytes,
                maximumHeldBytes,
                maximumHeadBytes,
                addresses,
                metrics);
    }

    /** Returns the settings of section 4.10 of the design page for an address. */
    public static GatewaySettings defaults(InetSocketAddress address) {
        return new GatewaySettings(
                address,
                2,
                Duration.ofSeconds(10),
                Duration.ofMinutes(5),
                8 * 1024 * 1024,
                Runtime.getRuntime().maxMemory() / SHARE_OF_HEAP,
                16 * 1024);
    }
}
