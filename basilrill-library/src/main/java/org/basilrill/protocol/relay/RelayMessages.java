package org.basilrill.protocol.relay;

import java.net.URLDecoder;
import java.net.URLEncoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.membership.RelayAccess;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector.Request;
import org.basilrill.state.configuration.Residency;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * The messages between an instance and the relay of another one: the request to the target and its response, with
 * additional fields that neither the target nor the caller receives. Stateless and thread safe.
 */
final class RelayMessages {
    /** Prefix of all fields that are read and removed by relays and their clients. */
    private static final String PREFIX = "x-basilrill-relay-";

    private static final String TOKEN = PREFIX + "token";
    private static final String TARGET = PREFIX + "target";
    private static final String SENDER = PREFIX + "sender";
    private static final String REQUEST = PREFIX + "request";
    private static final String FRESH = PREFIX + "fresh-connection";
    private static final String PERMIT = PREFIX + "permit";
    private static final String CHECK = PREFIX + "check";
    private static final String RESULT = PREFIX + "result";
    /** Allowed data centres, URL-encoded and separated by commas; absent if all are allowed. */
    private static final String DATA_CENTRES = PREFIX + "data-centres";

    private static final String DETAIL = PREFIX + "detail";
    private static final String TRUE = "true";
    private static final String HOST = "host";
    private static final int MAXIMUM_DETAIL_CHARACTERS = 200;
    private static final int NO_CONTENT = 204;
    private static final int BAD_GATEWAY = 502;
    /** Fields that belong to one connection; each connection of the way has its own. */
    private static final Set<String> CONNECTION_FIELDS =
            Set.of("connection", "keep-alive", "transfer-encoding", "proxy-connection", "te", "trailer", "upgrade");

    private RelayMessages() {}

    /**
     * What a relay is requested to do.
     *
     * @param sender instance that handles the request of the caller
     * @param requestId id of the caller's request; empty if the sender does not state it
     * @param permit incarnation of the cold target for which the sender has a permit; empty if it has none
     * @param checkOnly whether only a connection is to be opened
     */
    record Instruction(
            String token,
            TargetId target,
            InstanceId sender,
            String requestId,
            boolean freshConnection,
            Optional<String> permit,
            boolean checkOnly) {}

    /** Returns the request to a relay that carries a request to a target. */
    static Request carry(
            Request request,
            TargetAnnouncement target,
            RelayAccess relay,
            InstanceId sender,
            boolean freshConnection,
            boolean hasPermit) {
        List<HeaderField> headers = withoutRelayFields(request.headers());
        if (HeaderField.first(headers, HOST).isEmpty()) {
            headers.add(new HeaderField(HOST, target.host() + ":" + target.port()));
        }
        addInstruction(headers, target, relay, sender);
        headers.add(new HeaderField(REQUEST, request.requestId()));
        request.residency()
                .dataCentres()
                .ifPresent(allowed -> headers.add(new HeaderField(DATA_CENTRES, encode(allowed))));
        if (freshConnection) {
            headers.add(new HeaderField(FRESH, TRUE));
        }
        if (hasPermit) {
            headers.add(new HeaderField(PERMIT, Long.toString(target.incarnation())));
        }
        return new Request(
                request.method(),
                request.pathAndQuery(),
                headers,
                request.body(),
                request.requestId(),
                request.residency());
    }

    /** Returns the request to a relay that opens a connection to a target. */
    static Request check(TargetAnnouncement target, RelayAccess relay, InstanceId sender) {
        List<HeaderField> headers = new ArrayList<>();
        addInstruction(headers, target, relay, sender);
        headers.add(new HeaderField(CHECK, TRUE));
        return new Request("GET", "/", headers, new byte[0]);
    }

    private static void addInstruction(
            List<HeaderField> headers, TargetAnnouncement target, RelayAccess relay, InstanceId sender) {
        headers.add(new HeaderField(TOKEN, relay.token()));
        headers.add(new HeaderField(TARGET, target.id().value()));
        headers.add(new HeaderField(SENDER, sender.value()));
    }

    /** Returns the instruction in a request to a relay; empty if the request has none. */
    static Optional<Instruction> instruction(RequestHead head) {
        Optional<String> token = head.header(TOKEN);
        Optional<String> target = head.header(TARGET);
        Optional<String> sender = head.header(SENDER);
        if (token.isEmpty() || target.isEmpty() || sender.isEmpty()) {
            return Optional.empty();
        }
        return Optional.of(new Instruction(
                token.get(),
                new TargetId(target.get()),
                new InstanceId(sender.get()),
                head.header(REQUEST).orElse(""),
                head.header(FRESH).isPresent(),
                head.header(PERMIT),
                head.header(CHECK).isPresent()));
    }

    /** Returns the request that a relay sends to the target. */
    static Request toTarget(RequestHead head, byte[] body, String requestId) {
        String query = head.query().map(text -> "?" + text).orElse("");
        List<HeaderField> headers = select(
                head.headers(),
                name -> !name.startsWith(PREFIX)
                        && !CONNECTION_FIELDS.contains(name)
                        && !name.equals(ResponseHead.CONTENT_LENGTH));
        return new Request(head.method(), head.path() + query, headers, body, requestId, residency(head));
    }

    private static String encode(Set<String> dataCentres) {
        return dataCentres.stream()
                .sorted()
                .map(name -> URLEncoder.encode(name, StandardCharsets.UTF_8))
                .collect(Collectors.joining(","));
    }

    /** Returns the data centres that the sender allows; an older sender names none. */
    private static Residency residency(RequestHead head) {
        return head.header(DATA_CENTRES)
                .map(names -> Residency.within(Arrays.stream(names.split(","))
                        .filter(name -> !name.isEmpty())
                        .map(name -> URLDecoder.decode(name, StandardCharsets.UTF_8))
                        .collect(Collectors.toSet())))
                .orElse(Residency.EVERYWHERE);
    }

    /** Returns the head that a relay sends for the head of a target's response. */
    static ResponseHead fromTarget(ResponseHead head) {
        List<HeaderField> headers =
                select(head.headers(), name -> !name.startsWith(PREFIX) && !CONNECTION_FIELDS.contains(name));
        headers.add(new HeaderField(RESULT, RelayResult.RESPONSE.text()));
        return new ResponseHead(head.status(), headers);
    }

    /** Returns the head of a response without the response of a target. */
    static ResponseHead withoutResponse(RelayResult result, String detail) {
        String printable = detail.replaceAll("[^\\x20-\\x7e]", " ");
        String limited = printable.substring(0, Math.min(MAXIMUM_DETAIL_CHARACTERS, printable.length()));
        return new ResponseHead(
                result == RelayResult.REACHED ? NO_CONTENT : BAD_GATEWAY,
                List.of(
                        new HeaderField(RESULT, result.text()),
                        new HeaderField(DETAIL, limited),
                        new HeaderField(ResponseHead.CONTENT_LENGTH, "0")));
    }

    /** Returns the result in the head of a relay's response; a head without one was sent before the exchange began. */
    static RelayResult result(ResponseHead head) {
        return head.header(RESULT).flatMap(RelayResult::parse).orElse(RelayResult.NOT_SENT);
    }

    /** Returns why a relay sends no response of the target. */
    static String detail(ResponseHead head) {
        return head.header(DETAIL).orElseGet(() -> "the relay responded with status " + head.status());
    }

    /** Returns the head of the target's response. */
    static ResponseHead targetHead(ResponseHead head) {
        return new ResponseHead(head.status(), withoutRelayFields(head.headers()));
    }

    private static List<HeaderField> withoutRelayFields(List<HeaderField> headers) {
        return select(headers, name -> !name.startsWith(PREFIX));
    }

    /** Returns the fields whose names, in lower case, match the predicate. */
    private static List<HeaderField> select(List<HeaderField> headers, Predicate<String> names) {
        List<HeaderField> selected = new ArrayList<>(headers.size());
        for (HeaderField field : headers) {
            if (names.test(field.name().toLowerCase(Locale.ROOT))) {
                selected.add(field);
            }
        }
        return selected;
    }
}
