package org.basilrill.protocol.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.coordination.placement.TargetOrders.Order;
import org.basilrill.state.control.OrderOutcome;

/** Formats target orders as JSON and parses their outcomes. Stateless and thread safe. */
public final class TargetOrderCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String OUTCOME = "outcome";

    private TargetOrderCodec() {}

    /**
     * Returns the body of {@code POST /orders}.
     *
     * @param targetIncarnation incarnation of the target for which the order is valid; a target that has restarted
     *     refuses the order as stale
     */
    public static byte[] write(Order order, long targetIncarnation) {
        ObjectNode body = MAPPER.createObjectNode();
        body.put("id", order.orderId());
        body.put("target_incarnation", targetIncarnation);
        body.put("fencing_number", order.fencingNumber());
        body.put("kind", order.kind().name().toLowerCase(Locale.ROOT));
        body.put("model", order.model().value());
        body.put("version", order.version());
        body.put("bytes", order.bytes());
        return body.toString().getBytes(StandardCharsets.UTF_8);
    }

    /**
     * Returns the outcome reported by the target; empty if the order is still running.
     *
     * @throws BasilrillException with {@code TARGET_FAILED} if the response does not contain a known outcome
     */
    public static Optional<OrderOutcome> readOutcome(byte[] json) {
        JsonNode outcome;
        try {
            outcome = MAPPER.readTree(json).path(OUTCOME);
        } catch (IOException exception) {
            throw new BasilrillException(
                    ErrorCode.TARGET_FAILED, "the response to a target order is not JSON", exception);
        }
        return switch (outcome.asText()) {
            case "done" -> Optional.of(OrderOutcome.DONE);
            case "failed" -> Optional.of(OrderOutcome.FAILED);
            case "refused_stale" -> Optional.of(OrderOutcome.REFUSED_STALE);
            case "running" -> Optional.empty();
            default ->
                throw new BasilrillException(
                        ErrorCode.TARGET_FAILED, "the response to a target order has the unknown outcome " + outcome);
        };
    }
}
