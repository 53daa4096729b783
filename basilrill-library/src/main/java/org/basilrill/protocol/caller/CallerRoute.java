package org.basilrill.protocol.caller;

import java.util.Optional;

/**
 * The kind of a caller's request as its path tells it. Immutable and thread safe.
 *
 * @param service name of the plain service; empty for completions
 * @param targetPath path at the target
 */
public record CallerRoute(Kind kind, Optional<String> service, String targetPath) {
    private static final String CHAT = "/v1/chat/completions";
    private static final String TEXT = "/v1/completions";
    private static final String SERVICES = "/v1/services/";

    /** Kinds of requests that go to a target. */
    public enum Kind {
        COMPLETION,
        SERVICE
    }

    /** Returns the route of a checked path; empty if no target serves it. */
    public static Optional<CallerRoute> of(String path) {
        if (path.equals(CHAT) || path.equals(TEXT)) {
            return Optional.of(new CallerRoute(Kind.COMPLETION, Optional.empty(), path));
        }
        if (!path.startsWith(SERVICES)) {
            return Optional.empty();
        }
        String rest = path.substring(SERVICES.length());
        int slash = rest.indexOf('/');
        String service = slash < 0 ? rest : rest.substring(0, slash);
        if (service.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(
                new CallerRoute(Kind.SERVICE, Optional.of(service), slash < 0 ? "/" : rest.substring(slash)));
    }

    /** Returns whether the path is one that targets serve. */
    public static boolean matches(String path) {
        return path.equals(CHAT) || path.equals(TEXT) || path.startsWith(SERVICES);
    }
}
