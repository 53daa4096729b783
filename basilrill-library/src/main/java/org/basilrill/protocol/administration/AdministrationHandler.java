package org.basilrill.protocol.administration;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Supplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Outcome;
import org.basilrill.api.SuspectId;
import org.basilrill.coordination.crash.SuspectRecords;
import org.basilrill.protocol.caller.ErrorBody;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.RuleDecisions;
import org.basilrill.protocol.dialect.InstanceAccess.Evacuations;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.Rules.Operator;
import org.basilrill.state.configuration.Rules.Role;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;

/** Handles the administration routes, which require an operator's key. Thread safe. */
public final class AdministrationHandler {
    public static final String RULES = "/admin/rules";
    public static final String STATUS = "/admin/status";
    public static final String ACCOUNTS = "/admin/accounts";
    public static final String MODELS = "/admin/models";
    public static final String DRAIN = "/admin/drain";
    public static final String SUSPECTS = "/admin/suspects";

    /** Prefix of the path that ends with the name of a data centre. */
    public static final String EVACUATIONS = "/admin/evacuations/";

    public static final String REVISION = "revision";
    public static final String TEXT = "text";

    /** The path of suspects in earlier builds. */
    static final String PROMPT_PARTS = "/admin/prompt-parts";

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Pattern REVISION_QUERY = Pattern.compile(REVISION + "=([0-9]{1,18})");
    private static final String FIRST_OPERATOR = "first-operator";

    private final ControlClient control;
    private final RuleDecisions ruleDecisions;
    private final RulesReader rulesReader;
    private final AdministrationViews views;
    private final Supplier<ObjectNode> models;
    private final Evacuations evacuations;
    private final Runnable drain;
    private final Optional<KeyHash> firstOperatorKey;
    private final Duration deadline;

    /**
     * Creates a handler.
     *
     * @param models returns the state of model placement as JSON
     * @param evacuations begins and ends evacuations of data centres
     * @param drain starts the graceful shutdown of this instance; returns immediately
     * @param firstOperatorKey hash from the settings, accepted until the rules name an operator
     * @param deadline maximum time to wait for a result of the control log
     */
    public AdministrationHandler(
            ControlClient control,
            RulesReader rulesReader,
            AdministrationViews views,
            Supplier<ObjectNode> models,
            Evacuations evacuations,
            Runnable drain,
            Optional<KeyHash> firstOperatorKey,
            Duration deadline) {
        this.control = control;
        ruleDecisions = new RuleDecisions(control);
        this.rulesReader = rulesReader;
        this.views = views;
        this.models = models;
        this.evacuations = evacuations;
        this.drain = drain;
        this.firstOperatorKey = firstOperatorKey;
        this.deadline = deadline;
    }

    /** Returns whether the path is an administration route. */
    public static boolean matches(String path) {
        return path.startsWith("/admin/");
    }

    /** Returns the response; completes exceptionally with a {@link BasilrillException} if the request is rejected. */
    public CompletableFuture<PlainResponse> handle(RequestHead head, byte[] body) {
        Operator operator;
        ControlView view = control.view();
        try {
            operator = ruleDecisions.decide(view, () -> authenticate(head, view));
        } catch (BasilrillException refusal) {
            LOGGER.atWarning().log("%s: %s %s", LogEvent.OPERATOR_REFUSED, head.method(), head.path());
            return CompletableFuture.failedFuture(refusal);
        }
        try {
            return ruleDecisions.decide(view, () -> route(head, body, operator));
        } catch (BasilrillException refusal) {
            return CompletableFuture.failedFuture(refusal);
        }
    }

    private CompletableFuture<PlainResponse> route(RequestHead head, byte[] body, Operator operator) {
        if (head.path().startsWith(EVACUATIONS)) {
            return evacuate(head, operator);
        }
        String action = head.method() + " " + head.path();
        return switch (action) {
            case "GET " + RULES -> rulesReader.current().thenApply(AdministrationHandler::rulesResponse);
            case "PUT " + RULES -> replaceRules(head, body, operator);
            case "GET " + STATUS -> completed(200, views.status());
            case "GET " + ACCOUNTS -> completed(200, views.accounts());
            case "GET " + MODELS -> completed(200, models.get());
            case "POST " + DRAIN -> drain(operator);
            case "DELETE " + SUSPECTS, "DELETE " + PROMPT_PARTS -> releaseSuspect(body, operator);
            default -> CompletableFuture.failedFuture(unsupportedRoute(head));
        };
    }

    private Operator authenticate(RequestHead head, ControlView view) {
        String key = head.key()
                .orElseThrow(() -> new BasilrillException(
                        ErrorCode.KEY_MISSING, "send the operator's key as Authorization: Bearer"));
        KeyHash hash = KeyHash.of(key);
        Operator known = view.rules().operators().get(hash);
        if (known != null) {
            return known;
        }
        boolean noOperatorInRules = view.rules().operators().isEmpty();
        if (noOperatorInRules && firstOperatorKey.filter(hash::equals).isPresent()) {
            return new Operator(FIRST_OPERATOR, Role.ADMIN);
        }
        throw new BasilrillException(ErrorCode.KEY_UNKNOWN, "the key does not belong to an operator");
    }

    private CompletableFuture<PlainResponse> replaceRules(RequestHead head, byte[] body, Operator operator) {
        requireAdmin(operator);
        long expected = head.query()
                .map(REVISION_QUERY::matcher)
                .filter(Matcher::matches)
                .map(matcher -> Long.parseLong(matcher.group(1)))
                .orElseThrow(() -> new BasilrillException(
                        ErrorCode.MALFORMED_REQUEST, "the query must be revision=N, the revision to replace"));
        ControlCommand command = new ControlCommand.ReplaceRules(expected, decode(body), operator.name());
        return control.submit(command, deadline).thenApply(result -> rulesReplacedResponse(result, operator));
    }

    private static PlainResponse rulesReplacedResponse(ControlResult result, Operator operator) {
        if (result instanceof ControlResult.RulesAccepted accepted) {
            LOGGER.atInfo().log("%s: revision %d by %s", LogEvent.RULES_REPLACED, accepted.revision(), operator.name());
            ObjectNode body = MAPPER.createObjectNode();
            body.put(REVISION, accepted.revision());
            return PlainResponse.json(200, body.toString());
        }
        if (result instanceof ControlResult.RulesConflict conflict) {
            return conflictResponse(conflict);
        }
        if (result instanceof ControlResult.Refused refused) {
            throw new BasilrillException(refused.code(), refused.detail());
        }
        throw new BasilrillException(ErrorCode.INTERNAL, "unexpected result of a change of rules");
    }

    private static PlainResponse conflictResponse(ControlResult.RulesConflict conflict) {
        BasilrillException failure = new BasilrillException(
                ErrorCode.REVISION_CONFLICT,
                String.format("revision %d by %s is in force", conflict.currentRevision(), conflict.winner()));
        ObjectNode body = ErrorBody.json(failure);
        body.put(REVISION, conflict.currentRevision());
        body.put("operator", conflict.winner());
        return PlainResponse.json(failure.code().httpStatus(), body.toString());
    }

    private CompletableFuture<PlainResponse> drain(Operator operator) {
        requireAdmin(operator);
        drain.run();
        ObjectNode body = MAPPER.createObjectNode();
        body.put("draining", true);
        return completed(202, body);
    }

    /** Accepts the request, or requests with the prompt part, that the body names, until it crashes targets again. */
    private CompletableFuture<PlainResponse> releaseSuspect(byte[] body, Operator operator) {
        requireAdmin(operator);
        SuspectId suspect = SuspectId.parse(decode(body).trim());
        return new SuspectRecords(control).release(suspect, deadline).thenApply(result -> {
            if (result instanceof ControlResult.Refused refused) {
                throw new BasilrillException(refused.code(), refused.detail());
            }
            LOGGER.atInfo().log("%s: %s by %s", LogEvent.SUSPECT_RELEASED, suspect, operator.name());
            ObjectNode released = MAPPER.createObjectNode();
            released.put("released", suspect.toString());
            return PlainResponse.json(200, released.toString());
        });
    }

    private CompletableFuture<PlainResponse> evacuate(RequestHead head, Operator operator) {
        requireAdmin(operator);
        String dataCentre = head.path().substring(EVACUATIONS.length());
        CompletableFuture<Void> committed =
                switch (head.method()) {
                    case "POST" -> evacuations.begin(dataCentre);
                    case "DELETE" -> evacuations.end(dataCentre);
                    default ->
                        throw new BasilrillException(
                                ErrorCode.METHOD_NOT_ALLOWED, head.method() + " is not supported here");
                };
        return committed.thenApply(done -> {
            ObjectNode body = MAPPER.createObjectNode();
            body.put("data_centre", dataCentre);
            body.put("evacuated", head.method().equals("POST"));
            return PlainResponse.json(200, body.toString());
        });
    }

    private static PlainResponse rulesResponse(RulesReader.Revision current) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put(REVISION, current.revision());
        body.put(TEXT, current.text());
        return PlainResponse.json(200, body.toString());
    }

    private static BasilrillException unsupportedRoute(RequestHead head) {
        boolean known = head.path().equals(RULES)
                || head.path().equals(STATUS)
                || head.path().equals(ACCOUNTS)
                || head.path().equals(MODELS)
                || head.path().equals(DRAIN)
                || head.path().equals(SUSPECTS)
                || head.path().equals(PROMPT_PARTS);
        return known
                ? new BasilrillException(ErrorCode.METHOD_NOT_ALLOWED, head.method() + " is not supported here")
                : new BasilrillException(ErrorCode.NOT_FOUND, "no route for " + head.path());
    }

    private static void requireAdmin(Operator operator) {
        if (operator.role() != Role.ADMIN) {
            throw new BasilrillException(ErrorCode.FORBIDDEN, "operator " + operator.name() + " may only read");
        }
    }

    /**
     * Rejects bytes that are not UTF-8, because a lenient decoder would replace them and change the meaning of a rule.
     */
    private static String decode(byte[] body) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(body))
                    .toString();
        } catch (CharacterCodingException exception) {
            throw new BasilrillException(ErrorCode.RULES_INVALID, "the rules are not encoded in UTF-8", exception)
                    .withOutcome(Outcome.NOT_RUN);
        }
    }

    private static CompletableFuture<PlainResponse> completed(int status, ObjectNode body) {
        return CompletableFuture.completedFuture(PlainResponse.json(status, body.toString()));
    }
}
