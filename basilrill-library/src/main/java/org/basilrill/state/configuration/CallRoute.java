package org.basilrill.state.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * A route by which callers reach a service: every path under a prefix at a host. Immutable and thread safe.
 *
 * @param host host name in lower case
 * @param pathPrefix begins and ends with a slash
 * @param timeout time limit of a request until its response is complete
 * @param latencyTarget response time up to which a response has its full value for the caller
 * @param priority class of service of its requests; 0 is served first
 * @param shares services that the requests are split among, at least one with a weight above 0
 * @param maximumAttempts number of targets that one request may be sent to
 * @param open whether callers need no key
 * @param allowedRegions regions in which its requests may be served; empty if they may be served everywhere
 */
public record CallRoute(
        String name,
        String host,
        String pathPrefix,
        Kind kind,
        Duration timeout,
        Duration latencyTarget,
        int priority,
        List<Share> shares,
        int maximumAttempts,
        boolean open,
        Set<String> allowedRegions) {
    public CallRoute {
        shares = List.copyOf(shares);
        allowedRegions = Set.copyOf(allowedRegions);
    }

    /** How often a request of the route may run, and whether its response is a stream. */
    public enum Kind {
        /** A request may run more than once. */
        SAFE,
        /** A request runs at most once. */
        UNSAFE,
        /** The response is a stream of events; a request runs at most once. */
        STREAM,
        /** The response is a stream of events that another target can continue after a given event. */
        RESUMABLE_STREAM;

        /** Returns whether a request that may have run can be sent again before its response has begun. */
        public boolean isRepeatable() {
            return this == SAFE || this == RESUMABLE_STREAM;
        }

        /** Returns whether the response is a stream of events. */
        public boolean isStream() {
            return this == STREAM || this == RESUMABLE_STREAM;
        }
    }

    /**
     * A service that takes part of a route's requests.
     *
     * @param weight part of the requests, relative to the weights of the other shares; 0 or more
     */
    public record Share(String service, int weight) {}

    /**
     * Chooses the service of one request.
     *
     * @param fraction position of the request among all requests of the route, from 0 up to but excluding 1
     * @return empty if all weights are 0
     */
    public Optional<String> serviceAt(double fraction) {
        long total = shares.stream().mapToLong(Share::weight).sum();
        double remaining = fraction * total;
        for (Share share : shares) {
            remaining -= share.weight();
            if (remaining < 0) {
                return Optional.of(share.service());
            }
        }
        return Optional.empty();
    }
}
