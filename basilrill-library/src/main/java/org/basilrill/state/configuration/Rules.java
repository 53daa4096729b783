package org.basilrill.state.configuration;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.ModelId;

/**
 * The operators' rules of one revision, parsed and checked. Immutable and thread safe.
 *
 * @param revision 0 before the first accepted rules, then one higher with each accepted change
 * @param keys the client account of each key that is in force
 * @param services plain services by name
 */
public record Rules(
        long revision,
        Map<AccountId, Account> accounts,
        Map<KeyHash, AccountId> keys,
        Map<KeyHash, Operator> operators,
        Map<ModelId, Model> models,
        Map<ModelId, Adapter> adapters,
        Map<String, Service> services,
        List<RoutePattern> openRoutes,
        StoreLimits storeLimits) {
    public static final int DEFAULT_PRIORITY = 5;

    public Rules {
        accounts = Map.copyOf(accounts);
        keys = Map.copyOf(keys);
        operators = Map.copyOf(operators);
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
        services = Map.copyOf(services);
        openRoutes = List.copyOf(openRoutes);
    }

    /** Returns the rules before the first revision: nothing is allowed. */
    public static Rules empty() {
        return new Rules(
                0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), List.of(), StoreLimits.defaults());
    }

    /** Returns the client account whose key this is, if the key is in force. */
    public Optional<AccountId> accountOf(KeyHash key) {
        return Optional.ofNullable(keys.get(key));
    }

    /** Returns whether callers may use the route without a key. */
    public boolean isOpen(String method, String path) {
        return openRoutes.stream().anyMatch(route -> route.matches(method, path));
    }

    /**
     * One client account.
     *
     * @param tokensPerSecond refill of the token bucket
     * @param burstTokens capacity of the token bucket
     * @param weight share of the service under contention, 1 or more
     */
    public record Account(AccountId id, long tokensPerSecond, long burstTokens, int weight) {}

    /** What an operator's key allows. */
    public enum Role {
        ADMIN,
        VIEWER
    }

    /** One operator with a key of its own. */
    public record Operator(String name, Role role) {}

    /**
     * One model.
     *
     * @param memoryBytes accelerator memory of one copy
     * @param minimumCopies copies that must be kept ready, 1 or more
     * @param priority class of service of its requests; 0 goes first
     */
    public record Model(
            ModelId id, long memoryBytes, int minimumCopies, int maximumCopies, int version, int priority) {}

    /** One adapter on a base model. */
    public record Adapter(ModelId id, long memoryBytes) {}

    /**
     * One plain service.
     *
     * @param orderRoutes routes whose calls must not run twice
     */
    public record Service(String name, int priority, List<RoutePattern> orderRoutes) {
        public Service {
            orderRoutes = List.copyOf(orderRoutes);
        }

        /**
         * Returns whether a call must run at most once.
         *
         * @param path path below the service, starting with a slash
         */
        public boolean isOrder(String method, String path) {
            return orderRoutes.stream().anyMatch(route -> route.matches(method, path));
        }
    }

    /**
     * A method with a path; a path that ends in {@code *} matches every path with that prefix.
     *
     * @param path absolute path without a query
     */
    public record RoutePattern(String method, String path) {
        private static final String WILDCARD = "*";

        /** Returns whether a request belongs to this route. */
        public boolean matches(String requestMethod, String requestPath) {
            if (!method.equals(requestMethod)) {
                return false;
            }
            if (path.endsWith(WILDCARD)) {
                return requestPath.startsWith(path.substring(0, path.length() - 1));
            }
            return path.equals(requestPath);
        }
    }

    /** Limits of the weight store and of adapter loads, for the whole deployment. */
    public record StoreLimits(double loadsPerSecond, int loadsInFlight, int adapterLoadsInFlight) {
        /** Returns the limits in force while no rule states others. */
        public static StoreLimits defaults() {
            return new StoreLimits(1, 4, 30);
        }
    }
}
