package org.basilrill.transport.http;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * Settings of the listener for callers. Immutable and thread safe.
 *
 * @param address address to bind; port 0 takes a free one
 * @param headerWait longest time for a head once its first byte is there, and longest silence within a body
 * @param idleLimit longest time a connection may wait for its next request
 * @param maximumBodyBytes longest body of a request
 * @param maximumHeadBytes longest request line with header fields
 */
public record GatewaySettings(
        InetSocketAddress address,
        int ioThreads,
        Duration headerWait,
        Duration idleLimit,
        int maximumBodyBytes,
        int maximumHeadBytes) {
    /** Returns the settings of section 4.10 of the design page for an address. */
    public static GatewaySettings defaults(InetSocketAddress address) {
        return new GatewaySettings(
                address, 2, Duration.ofSeconds(10), Duration.ofMinutes(5), 8 * 1024 * 1024, 16 * 1024);
    }
}
