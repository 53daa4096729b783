package org.basilrill.transport.http;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

/**
 * Settings of the listener for callers. Immutable and thread safe.
 *
 * @param address address for callers; port 0 selects a free port
 * @param headTimeout longest time from the first byte of a head to its end, and longest time without input within a
 *     body
 * @param idleTimeout longest time without input on a connection that has no open request
 * @param maximumBodyBytes longest request body
 * @param maximumBufferedBytes limit of the total size of all buffered request bodies; requests beyond it are rejected
 * @param maximumHeadBytes longest request head: request line and header fields together
 * @param ownAddresses addresses of the routes that the instance serves itself; if there are any, all requests to
 *     {@code address} are for targets
 * @param metricsAddress address for monitoring, which routes no requests to targets
 * @param relayAddress address at which other instances send the exchanges that this one carries for them
 */
public record GatewaySettings(
        InetSocketAddress address,
        int ioThreads,
        Duration headTimeout,
        Duration idleTimeout,
        int maximumBodyBytes,
        long maximumBufferedBytes,
        int maximumHeadBytes,
        List<InetSocketAddress> ownAddresses,
        Optional<InetSocketAddress> metricsAddress,
        Optional<InetSocketAddress> relayAddress) {
    /**
     * Bodies may use one eighth of the heap. Each body is copied once while it grows and once for the target, so they
     * use at most three eighths in all.
     */
    private static final int HEAP_DIVISOR = 8;

    public GatewaySettings {
        ownAddresses = List.copyOf(ownAddresses);
    }

    /** Creates settings of a listener that serves all routes at one address. */
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
                Optional.empty(),
                Optional.empty());
    }

    /** Returns all listening addresses of the routes that the instance serves itself. */
    List<InetSocketAddress> otherAddresses() {
        return Stream.concat(ownAddresses.stream(), metricsAddress.stream()).toList();
    }

    /** Returns all listening addresses other than the one for callers. */
    List<InetSocketAddress> additionalAddresses() {
        return Stream.concat(otherAddresses().stream(), relayAddress.stream()).toList();
    }

    /** Returns whether all requests to the address for callers are for targets. */
    boolean hasDedicatedCallerAddress() {
        return !ownAddresses.isEmpty();
    }

    /** Returns the same settings with separate addresses for the routes that the instance serves itself. */
    public GatewaySettings withOwnAddresses(List<InetSocketAddress> addresses, Optional<InetSocketAddress> metrics) {
        return new GatewaySettings(
                address,
                ioThreads,
                headTimeout,
                idleTimeout,
                maximumBodyBytes,
                maximumBufferedBytes,
                maximumHeadBytes,
                addresses,
                metrics,
                relayAddress);
    }

    /** Returns the same settings with an address for the relay. */
    public GatewaySettings withRelayAddress(Optional<InetSocketAddress> relay) {
        return new GatewaySettings(
                address,
                ioThreads,
                headTimeout,
                idleTimeout,
                maximumBodyBytes,
                maximumBufferedBytes,
                maximumHeadBytes,
                ownAddresses,
                metricsAddress,
                relay);
    }

    /** Returns the default settings for an address, as listed in section 4.10 of the design page. */
    public static GatewaySettings defaults(InetSocketAddress address) {
        return new GatewaySettings(
                address,
                2,
                Duration.ofSeconds(10),
                Duration.ofMinutes(5),
                8 * 1024 * 1024,
                Runtime.getRuntime().maxMemory() / HEAP_DIVISOR,
                16 * 1024);
    }
}
