package org.basilrill.protocol.caller;

import java.util.Optional;

/**
 * The kind, service and target path of a caller's request, derived from the request path. Immutable and thread safe.
 *
 * @param service name of the plain service; empty for completions
 * @param targetPath path of the request that is sent to the target
 */
public record CallerRoute(Kind kind, Optional<String> service, String targetPath) {
    private static final String CHAT_PATH = "/v1/chat/completions";
    private static final String COMPLETIONS_PATH = "/v1/completions";
    private static final String SERVICES_PREFIX = "/v1/services/";

    /** Kinds of requests that are routed to a target. */
    public enum Kind {
        COMPLETION,
        SERVICE
    }

    /** Returns the route of a canonical path; empty if requests for it are not routed to a target. */
    public static Optional<CallerRoute> of(String path) {
        if (path.equals(CHAT_PATH) || path.equals(COMPLETIONS_PATH)) {
            return Optional.of(new CallerRoute(Kind.COMPLETION, Optional.empty(), path));
        }
        if (!path.startsWith(SERVICES_PREFIX)) {
            return Optional.empty();
        }
        String remainder = path.substring(SERVICES_PREFIX.length());
        int slash = remainder.indexOf('/');
        String service = slash < 0 ? remainder : remainder.substring(0, slash);
        if (service.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new CallerRoute(Kind.SERVICE, Optional.of(service), slash < 0 ? "/" : remainder.substring(slash)));
    }

    /** Returns whether requests for the path are routed to a target. */
    public static boolean matches(String path) {
        return path.equals(CHAT_PATH) || path.equals(COMPLETIONS_PATH) || path.startsWith(SERVICES_PREFIX);
    }
}
