package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.routing.Prompt;
import org.basilrill.coordination.routing.RequestProfile;
import org.basilrill.protocol.caller.CallerRoute;
import org.basilrill.protocol.caller.CompletionBody;
import org.basilrill.protocol.caller.KeyGuard;
import org.basilrill.protocol.caller.RequestFingerprint;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.RequestPaths;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.RegionTable;
import org.basilrill.state.configuration.Residency;
import org.basilrill.state.configuration.Rules;

/** Plans completions and service calls in the native API. Thread safe. */
final class RequestPlanner implements Planner {
    private static final Pattern REQUEST_ID = Pattern.compile("[A-Za-z0-9._:-]{1,128}");
    private static final Pattern IDEMPOTENCY_KEY = Pattern.compile("[\\x21-\\x7e]{1,255}");
    private static final Pattern TIMEOUT = Pattern.compile("[1-9][0-9]{0,8}");

    /** Methods that HTTP defines as idempotent. */
    private static final Set<String> IDEMPOTENT = Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");

    private final RequestLimits limits;
    private final RegionTable regions;
    private final IdentifierGenerator identifiers;

    RequestPlanner(RequestLimits limits, RegionTable regions, IdentifierGenerator identifiers) {
        this.limits = limits;
        this.regions = regions;
        this.identifiers = identifiers;
    }

    /** An authorised request with its account and route. */
    private record Authorized(
            RequestPlanner planner,
            RequestHead head,
            Rules rules,
            CallerRoute route,
            Optional<AccountId> account,
            Optional<KeyHash> keyHash)
            implements Authorization {
        @Override
        public RequestPlan plan(byte[] body) {
            return planner.plan(head, body, this, rules);
        }
    }

    @Override
    public Authorization authorize(RequestHead head, Rules rules) {
        RequestPaths.requireCanonical(head.path());
        CallerRoute route = CallerRoute.of(head.path())
                .orElseThrow(() -> new BasilrillException(ErrorCode.NOT_FOUND, "no route for " + head.path()));
        requireSingle(head, RequestHead.AUTHORIZATION);
        requireSingle(head, RequestHead.IDEMPOTENCY_KEY);
        Optional<KeyHash> keyHash = head.key().map(KeyHash::of);
        Optional<AccountId> account = keyHash.flatMap(rules::accountOf);
        if (account.isEmpty() && !rules.isOpen(head.method(), head.path())) {
            throw keyHash.isPresent()
                    ? new BasilrillException(ErrorCode.KEY_UNKNOWN, "the key is not in force")
                    : new BasilrillException(ErrorCode.KEY_MISSING, "send the key as Authorization: Bearer");
        }
        if (new KeyGuard(head.key(), rules).reveals(head.path())) {
            throw new BasilrillException(ErrorCode.MALFORMED_REQUEST, "the path contains the key");
        }
        if (route.kind() == CallerRoute.Kind.COMPLETION && !head.method().equals("POST")) {
            throw new BasilrillException(ErrorCode.METHOD_NOT_ALLOWED, "completions are requested by POST");
        }
        return new Authorized(this, head, rules, route, account, account.isPresent() ? keyHash : Optional.empty());
    }

    private RequestPlan plan(RequestHead head, byte[] body, Authorized authorization, Rules rules) {
        KeyGuard guard = new KeyGuard(head.key(), rules);
        if (guard.reveals(body)) {
            throw new BasilrillException(ErrorCode.MALFORMED_REQUEST, "the body contains the key");
        }
        return authorization.route().kind() == CallerRoute.Kind.COMPLETION
                ? planCompletion(head, body, authorization, guard, rules)
                : planService(head, body, authorization, guard, rules);
    }

    private RequestPlan planCompletion(
            RequestHead head, byte[] body, Authorized authorization, KeyGuard guard, Rules rules) {
        CompletionBody completion = CompletionBody.parse(body);
        int priority = priorityOf(completion.model(), rules);
        String id = requestId(head, guard);
        return new RequestPlan(
                id,
                head,
                authorization.account(),
                authorization.keyHash(),
                guard,
                Destination.ofModel(completion.model()).within(residency(authorization)),
                priority,
                completion.promptTokens(),
                completion.promptTokens() + completion.outputTokens(),
                Prompt.ofEqualParts(completion.prefixHashes(), completion.promptTokens()),
                RequestProfile.ofTokens(completion.promptTokens(), completion.outputTokens()),
                SharedPromptParts.of(completion.model().base().value(), completion.prefixHashes()),
                Optional.empty(),
                Optional.empty(),
                true,
                RequestFingerprint.ofContent(authorization.account(), body),
                deadline(head),
                authorization.route().targetPath(),
                completion.body(),
                new CompletionMessages(head, id, guard),
                AttemptPolicy.ofCompletions(limits.maximumAttempts()),
                rules.revision());
    }

    private RequestPlan planService(
            RequestHead head, byte[] body, Authorized authorization, KeyGuard guard, Rules rules) {
        String name = authorization.route().service().orElseThrow();
        Rules.Service service = Optional.ofNullable(rules.services().get(name))
                .orElseThrow(() -> new BasilrillException(ErrorCode.NOT_FOUND, "there is no service " + name));
        String path = authorization.route().targetPath();
        String pathAndQuery = path
                + head.query()
                        .flatMap(guard::withoutKeys)
                        .map(query -> "?" + query)
                        .orElse("");
        String fingerprint = RequestFingerprint.ofCall(authorization.account(), head.method(), head.path(), body);
        Optional<RequestPlan.Order> order = order(head, authorization, service, path, fingerprint, guard);
        long tokens = Math.max(1, (body.length + 3) / 4);
        String id = requestId(head, guard);
        return new RequestPlan(
                id,
                head,
                authorization.account(),
                authorization.keyHash(),
                guard,
                Destination.ofService(name).within(residency(authorization)),
                service.priority(),
                tokens,
                tokens,
                Prompt.none(),
                RequestProfile.unknown(),
                List.of(),
                Optional.empty(),
                order,
                order.isEmpty() && IDEMPOTENT.contains(head.method()),
                fingerprint,
                deadline(head),
                pathAndQuery,
                body,
                new CompletionMessages(head, id, guard),
                AttemptPolicy.ofCompletions(limits.maximumAttempts()),
                rules.revision());
    }

    /** Returns where the account allows its requests to be served. */
    private Residency residency(Authorized authorization) {
        Set<String> ofAccount = authorization
                .account()
                .map(authorization.rules().accounts()::get)
                .map(Rules.Account::allowedRegions)
                .orElse(Set.of());
        return regions.residency(Set.of(), ofAccount);
    }

    private Optional<RequestPlan.Order> order(
            RequestHead head,
            Authorized authorization,
            Rules.Service service,
            String path,
            String fingerprint,
            KeyGuard guard) {
        Optional<String> idempotencyKey = head.header(RequestHead.IDEMPOTENCY_KEY);
        if (idempotencyKey
                .filter(key -> !IDEMPOTENCY_KEY.matcher(key).matches() || guard.reveals(key))
                .isPresent()) {
            throw new BasilrillException(
                    ErrorCode.MALFORMED_REQUEST,
                    "Idempotency-Key must be 1 to 255 visible characters other than a key");
        }
        boolean mustRunOnce = service.isOrder(head.method(), path);
        if (!mustRunOnce && (idempotencyKey.isEmpty() || authorization.account().isEmpty())) {
            return Optional.empty();
        }
        AccountId account = authorization
                .account()
                .orElseThrow(() -> new BasilrillException(ErrorCode.KEY_MISSING, "orders need the key of an account"));
        String attempt = identifiers.next();
        String orderFingerprint =
                RequestFingerprint.ofOrder(fingerprint, head.query().orElse(""));
        return Optional.of(new RequestPlan.Order(
                account, idempotencyKey.orElse("generated-" + attempt), orderFingerprint, attempt));
    }

    private static int priorityOf(ModelId model, Rules rules) {
        Rules.Model base = rules.models().get(model.base());
        boolean known =
                base != null && (model.adapter().isEmpty() || rules.adapters().containsKey(model));
        if (!known) {
            throw new BasilrillException(ErrorCode.UNKNOWN_MODEL, "there is no model " + model);
        }
        return base.priority();
    }

    /** Returns the caller's ID if it is safe to forward, otherwise a generated one. */
    private String requestId(RequestHead head, KeyGuard guard) {
        return head.header(RequestHead.REQUEST_ID)
                .filter(id -> REQUEST_ID.matcher(id).matches() && !guard.reveals(id))
                .orElseGet(identifiers::next);
    }

    @Override
    public String requestId(RequestHead head) {
        return requestId(head, new KeyGuard(head.key(), Rules.empty()));
    }

    @Override
    public Optional<Duration> remainingTime(RequestHead head) {
        return Optional.of(deadline(head));
    }

    private Duration deadline(RequestHead head) {
        Optional<String> requestedTimeout = head.header(RequestHead.REQUEST_TIMEOUT);
        if (requestedTimeout.isEmpty()) {
            return limits.defaultDeadline();
        }
        if (!TIMEOUT.matcher(requestedTimeout.get()).matches()) {
            throw new BasilrillException(
                    ErrorCode.MALFORMED_REQUEST, "X-Request-Timeout-Ms must be a positive number of milliseconds");
        }
        Duration deadline = Duration.ofMillis(Long.parseLong(requestedTimeout.get()));
        return deadline.compareTo(limits.maximumDeadline()) > 0 ? limits.maximumDeadline() : deadline;
    }

    /** Rejects repeated header fields, as two programs could interpret them differently. */
    private static void requireSingle(RequestHead head, String name) {
        long count = head.headers().stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .count();
        if (count > 1) {
            throw new BasilrillException(ErrorCode.MALFORMED_REQUEST, "more than one header field " + name);
        }
    }
}
