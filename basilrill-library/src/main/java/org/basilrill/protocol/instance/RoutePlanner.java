package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.api.PromptPartId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.routing.Prompt;
import org.basilrill.coordination.routing.RequestProfile;
import org.basilrill.protocol.caller.KeyGuard;
import org.basilrill.protocol.caller.RequestFingerprint;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.dialect.CallRequest;
import org.basilrill.protocol.dialect.CallRequest.PromptPart;
import org.basilrill.protocol.dialect.CallRequest.TokenCounts;
import org.basilrill.protocol.dialect.CallerDialect;
import org.basilrill.state.configuration.CallRoute;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.RegionTable;
import org.basilrill.state.configuration.Rules;

/** Plans requests by the routes of the rules, matched by host and longest path prefix. Thread safe. */
final class RoutePlanner implements Planner {
    private static final long HASH_MULTIPLIER = 0x9E3779B97F4A7C15L;

    /** Approximate time to elect a leader and pull the rules. */
    private static final Duration RETRY_WITHOUT_RULES = Duration.ofSeconds(1);

    private final CallerDialect dialect;
    private final RegionTable regions;
    private final RandomGenerator random;

    /**
     * Creates a planner.
     *
     * @param regions regions of the data centres
     * @param random chooses a service on routes with several; used only under a lock
     */
    RoutePlanner(CallerDialect dialect, RegionTable regions, RandomGenerator random) {
        this.dialect = dialect;
        this.regions = regions;
        this.random = random;
    }

    @Override
    public Authorization authorize(RequestHead head, Rules rules) {
        CallRequest request = dialect.read(head);
        if (rules.revision() == 0) {
            throw new BasilrillException(ErrorCode.INSTANCE_NOT_CURRENT, "this instance has not received rules yet")
                    .withRetryAfter(RETRY_WITHOUT_RULES);
        }
        CallRoute route = rules.callRoutes()
                .find(request.host(), head.path())
                .orElseThrow(() ->
                        new BasilrillException(ErrorCode.NOT_FOUND, "no route for " + request.host() + head.path()));
        Optional<KeyHash> keyHash = request.key().map(KeyHash::of);
        Optional<AccountId> account = keyHash.flatMap(rules::accountOf);
        boolean keysInUse = !rules.accounts().isEmpty();
        if (keysInUse && !route.open() && account.isEmpty()) {
            throw keyHash.isPresent()
                    ? new BasilrillException(ErrorCode.KEY_UNKNOWN, "the key is not in force")
                    : new BasilrillException(ErrorCode.KEY_MISSING, "the route needs a key");
        }
        return new RouteAuthorization(request, route, rules, account, account.isPresent() ? keyHash : Optional.empty());
    }

    @Override
    public String requestId(RequestHead head) {
        return dialect.read(head).requestId();
    }

    @Override
    public Optional<Duration> remainingTime(RequestHead head) {
        return dialect.read(head).remainingTime();
    }

    private double randomFraction() {
        synchronized (random) {
            return random.nextDouble();
        }
    }

    /** Hashes the prompt's prefixes. The model is part of each hash, as a prefix cache is valid for one model only. */
    private static Prompt prompt(CallRequest request) {
        List<Long> hashes = new ArrayList<>();
        List<Long> tokens = new ArrayList<>();
        long hash = request.model().map(ModelId::hashCode).orElse(0);
        for (PromptPart part : request.promptParts()) {
            hash = hash * HASH_MULTIPLIER + part.id();
            hashes.add(hash);
            tokens.add(part.tokens());
        }
        return new Prompt(hashes, tokens);
    }

    private static List<PromptPartId> sharedParts(CallRequest request, Destination destination) {
        List<Long> values = request.promptParts().stream().map(PromptPart::id).toList();
        return SharedPromptParts.of(destination.service().orElse(""), values);
    }

    /** A request that is authorised by its route. */
    private final class RouteAuthorization implements Authorization {
        private final CallRequest request;
        private final CallRoute route;
        private final Rules rules;
        private final Optional<AccountId> account;
        private final Optional<KeyHash> keyHash;

        RouteAuthorization(
                CallRequest request,
                CallRoute route,
                Rules rules,
                Optional<AccountId> account,
                Optional<KeyHash> keyHash) {
            this.request = request;
            this.route = route;
            this.rules = rules;
            this.account = account;
            this.keyHash = keyHash;
        }

        @Override
        public Optional<AccountId> account() {
            return account;
        }

        @Override
        public Optional<KeyHash> keyHash() {
            return keyHash;
        }

        @Override
        public RequestPlan plan(byte[] body) {
            RequestHead head = request.head();
            Optional<Rules.Account> chargedAccount = account.map(rules.accounts()::get);
            String fingerprint = RequestFingerprint.ofCall(account, head.method(), head.path(), body);
            String query = head.query().map(text -> "?" + text).orElse("");
            Destination destination = destination()
                    .within(regions.residency(
                            route.allowedRegions(),
                            chargedAccount.map(Rules.Account::allowedRegions).orElse(Set.of())));
            return new RequestPlan(
                    request.requestId(),
                    head,
                    account,
                    keyHash,
                    new KeyGuard(request.key(), rules),
                    destination,
                    chargedAccount.flatMap(Rules.Account::priority).orElse(route.priority()),
                    tokensToCharge(chargedAccount),
                    tokensToCharge(chargedAccount),
                    prompt(request),
                    profile(),
                    sharedParts(request, destination),
                    request.resumption(),
                    Optional.empty(),
                    route.kind().isRepeatable(),
                    fingerprint,
                    remainingTime(),
                    head.path() + query,
                    body,
                    dialect.messages(request),
                    AttemptPolicy.ofRoute(route),
                    rules.revision());
        }

        private Destination destination() {
            String service = route.serviceAt(randomFraction())
                    .orElseThrow(() -> new BasilrillException(
                            ErrorCode.NO_TARGET, "route " + route.name() + " has no service with a weight"));
            return request.model()
                    .map(model -> Destination.ofModelAt(service, model))
                    .orElseGet(() -> Destination.ofService(service));
        }

        /** Returns zero for an account without a limit, so that its requests do not wait for a token bucket. */
        private long tokensToCharge(Optional<Rules.Account> chargedAccount) {
            return chargedAccount
                    .filter(limited -> !limited.isUnlimited())
                    .map(limited -> limited.charging().costOf(request.tokens().map(TokenCounts::total)))
                    .orElse(0L);
        }

        /** A route that states no latency target has its timeout as target, which says nothing about its urgency. */
        private RequestProfile profile() {
            Optional<Duration> latencyTarget =
                    Optional.of(route.latencyTarget()).filter(target -> target.compareTo(route.timeout()) < 0);
            return new RequestProfile(
                    request.tokens().map(TokenCounts::prompt).orElse(0L),
                    request.tokens().map(TokenCounts::maximumOutput).orElse(0L),
                    latencyTarget,
                    OptionalLong.empty());
        }

        private Duration remainingTime() {
            Duration stated = request.remainingTime().orElse(route.timeout());
            return stated.compareTo(route.timeout()) < 0 ? stated : route.timeout();
        }
    }
}
