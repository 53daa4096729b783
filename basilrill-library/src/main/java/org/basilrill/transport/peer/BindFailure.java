package org.basilrill.transport.peer;

import java.net.InetSocketAddress;

/** Words the failure to listen on an address. Stateless and thread safe. */
public final class BindFailure {
    private BindFailure() {}

    /** Returns the address, as it stands in the settings, and the innermost reason, which the libraries wrap. */
    public static String describe(InetSocketAddress address, Throwable failure) {
        Throwable root = failure;
        while (root.getCause() != null) {
            root = root.getCause();
        }
        String message = String.valueOf(root.getMessage());
        String reason = message.substring(message.lastIndexOf(": ") + 1).strip();
        return address.getAddress().getHostAddress() + ":" + address.getPort() + ": " + reason;
    }
}
