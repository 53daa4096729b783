package org.basilrill.state.configuration;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.AccountId;
import org.basilrill.api.ModelId;

/**
 * The operators' rules of one revision, parsed and checked. Immutable and thread safe.
 *
 * @param revision 0 before the first accepted rules, then one higher with each accepted change
 * @param keys client account of each key in force
 * @param services plain services by name
 * @param callRoutes routes by host and prefix
 * @param enginePools pools of engines by service
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
        StoreLimits storeLimits,
        RouteTable callRoutes,
        Map<String, EnginePool> enginePools) {
    public static final int DEFAULT_PRIORITY = 5;

    public Rules {
        accounts = Map.copyOf(accounts);
        keys = Map.copyOf(keys);
        operators = Map.copyOf(operators);
        models = Map.copyOf(models);
        adapters = Map.copyOf(adapters);
        services = Map.copyOf(services);
        openRoutes = List.copyOf(openRoutes);
        enginePools = Map.copyOf(enginePools);
    }

    /** Creates rules without routes by host and without pools of engines. */
    public Rules(
            long revision,
            Map<AccountId, Account> accounts,
            Map<KeyHash, AccountId> keys,
            Map<KeyHash, Operator> operators,
            Map<ModelId, Model> models,
            Map<ModelId, Adapter> adapters,
            Map<String, Service> services,
            List<RoutePattern> openRoutes,
            StoreLimits storeLimits) {
        this(
                revision,
                accounts,
                keys,
                operators,
                models,
                adapters,
                services,
                openRoutes,
                storeLimits,
                RouteTable.empty(),
                Map.of());
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

    /** Returns the share of an account under contention; 1 for an unknown account. */
    public int weightOf(AccountId account) {
        return Optional.ofNullable(accounts.get(account)).map(Account::weight).orElse(1);
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
     * @param weight share of the capacity under contention, 1 or more
     * @param priority class of service of all its requests; empty if that of the route applies
     * @param charging cost of a request
     * @param allowedRegions regions in which its requests may be served; empty if they may be served everywhere
     */
    public record Account(
            AccountId id,
            long tokensPerSecond,
            long burstTokens,
            int weight,
            Optional<Integer> priority,
            Charging charging,
            Set<String> allowedRegions) {
        public Account {
            allowedRegions = Set.copyOf(allowedRegions);
        }

        /** Creates an account whose requests have the class of their route and cost the tokens they state. */
        public Account(AccountId id, long tokensPerSecond, long burstTokens, int weight) {
            this(id, tokensPerSecond, burstTokens, weight, Optional.empty(), Charging.BY_TOKENS, Set.of());
        }

        /** Returns the account with the regions in which its requests may be served. */
        public Account within(Set<String> regions) {
            return new Account(id, tokensPerSecond, burstTokens, weight, priority, charging, regions);
        }

        /** Returns whether its rate has no limit. */
        public boolean isUnlimited() {
            return tokensPerSecond == 0;
        }
    }

    /**
     * Cost of a request to its account.
     *
     * @param byTokens whether a request costs the tokens it states; otherwise every request costs 1
     * @param defaultTokens cost of a request that states no tokens, if requests cost tokens
     */
    public record Charging(boolean byTokens, long defaultTokens) {
        /** Every request states its tokens. */
        public static final Charging BY_TOKENS = new Charging(true, 1);

        /** Returns the cost of a request. */
        public long costOf(Optional<Long> statedTokens) {
            if (!byTokens) {
                return 1;
            }
            return Math.max(1, statedTokens.orElse(defaultTokens));
        }
    }

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
     * @param priority class of service of its requests; 0 is served first
     */
    public record Model(
            ModelId id, long memoryBytes, int minimumCopies, int maximumCopies, int version, int priority) {}

    /** One adapter on a base model. */
    public record Adapter(ModelId id, long memoryBytes) {}

    /**
     * One plain service.
     *
     * @param orderRoutes routes whose requests must not run twice
     * @param coldStart what its targets accept while they are cold; empty if that is not limited
     */
    public record Service(String name, int priority, List<RoutePattern> orderRoutes, Optional<ColdStart> coldStart) {
        public Service {
            orderRoutes = List.copyOf(orderRoutes);
        }

        /** Creates a service whose cold targets are not limited. */
        public Service(String name, int priority, List<RoutePattern> orderRoutes) {
            this(name, priority, orderRoutes, Optional.empty());
        }

        /**
         * Returns whether a request must run at most once.
         *
         * @param path path below the service, starting with a slash
         */
        public boolean isOrder(String method, String path) {
            return orderRoutes.stream().anyMatch(route -> route.matches(method, path));
        }
    }

    /**
     * What a target of a service accepts while it is cold.
     *
     * @param perSecond requests per second from all instances together; positive
     * @param duration how long a target is cold after its start
     */
    public record ColdStart(double perSecond, Duration duration) {}

    /**
     * A method with a path; a path that ends in {@code *} matches every path with that prefix.
     *
     * @param path absolute path without a query
     */
    public record RoutePattern(String method, String path) {
        private static final String WILDCARD = "*";

        /** Returns whether a request matches this route. */
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
        /** Returns the limits that apply unless a rule states others. */
        public static StoreLimits defaults() {
            return new StoreLimits(1, 4, 30);
        }
    }
}
