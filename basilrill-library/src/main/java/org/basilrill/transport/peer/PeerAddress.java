package org.basilrill.transport.peer;

import java.net.InetSocketAddress;
import java.util.Optional;

/** Parses addresses in the form {@code IP:port}. Stateless and thread safe. */
public final class PeerAddress {
    private static final int MAXIMUM_PORT = 65_535;

    private PeerAddress() {}

    /**
     * Returns the address; empty if the text lacks a host or a valid port. The host is not checked to be an IP address.
     */
    public static Optional<InetSocketAddress> parse(String text) {
        int separator = text.lastIndexOf(':');
        if (separator <= 0) {
            return Optional.empty();
        }
        try {
            int port = Integer.parseInt(text.substring(separator + 1));
            if (port < 1 || port > MAXIMUM_PORT) {
                return Optional.empty();
            }
            return Optional.of(new InetSocketAddress(text.substring(0, separator), port));
        } catch (NumberFormatException exception) {
            return Optional.empty();
        }
    }
}
