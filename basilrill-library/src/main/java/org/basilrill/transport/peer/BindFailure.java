package org.basilrill.transport.peer;

import java.net.InetSocketAddress;

/** Formats the reason why an address could not be bound. Stateless and thread safe. */
public final class BindFailure {
    private BindFailure() {}

    /**
     * Returns the address as {@code IP:port} and the message of the root cause, which libraries wrap in other
     * exceptions.
     */
    public static String describe(InetSocketAddress address, Throwable failure) {
        Throwable rootCause = failure;
        while (rootCause.getCause() != null) {
            rootCause = rootCause.getCause();
        }
        String message = String.valueOf(rootCause.getMessage());
        String reason = message.substring(message.lastIndexOf(": ") + 1).strip();
        return address.getAddress().getHostAddress() + ":" + address.getPort() + ": " + reason;
    }
}
