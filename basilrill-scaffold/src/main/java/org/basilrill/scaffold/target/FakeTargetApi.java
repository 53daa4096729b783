package org.basilrill.scaffold.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.TargetOrders.Order;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;

/** The HTTP interface of a fake target. Thread safe. */
final class FakeTargetApi {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String ORDERS = "/orders";

    private final FakeEngine engine;
    private final FakeMemory memory;
    private final long incarnation;
    private final Runnable leave;

    FakeTargetApi(FakeEngine engine, FakeMemory memory, long incarnation, Runnable leave) {
        this.engine = engine;
        this.memory = memory;
        this.incarnation = incarnation;
        this.leave = leave;
    }

    void register(HttpServer server, boolean isService) {
        if (isService) {
            server.createContext("/", engine::serve);
        } else {
            server.createContext("/v1/chat/completions", engine::complete);
            server.createContext("/v1/completions", engine::complete);
            server.createContext(ORDERS, this::handleOrder);
        }
        server.createContext("/debug/state", this::handleState);
        server.createContext("/debug/leave", exchange -> {
            leave.run();
            respond(exchange, Map.of());
        });
    }

    private void handleOrder(HttpExchange exchange) throws IOException {
        Optional<OrderOutcome> outcome = exchange.getRequestMethod().equals("POST")
                ? execute(MAPPER.readTree(exchange.getRequestBody()))
                : memory.outcome(exchange.getRequestURI().getPath().substring(ORDERS.length() + 1));
        String text =
                outcome.map(known -> known.name().toLowerCase(Locale.ROOT)).orElse("running");
        respond(exchange, Map.of("outcome", text));
    }

    private Optional<OrderOutcome> execute(JsonNode json) {
        boolean forEarlierIncarnation = json.path("target_incarnation").asLong() != incarnation;
        return forEarlierIncarnation ? Optional.of(OrderOutcome.REFUSED_STALE) : memory.execute(parseOrder(json));
    }

    private static Order parseOrder(JsonNode json) {
        return new Order(
                json.path("id").asText(),
                json.path("fencing_number").asLong(),
                OrderKind.valueOf(json.path("kind").asText().toUpperCase(Locale.ROOT)),
                new ModelId(json.path("model").asText()),
                json.path("version").asInt(),
                json.path("bytes").asLong());
    }

    private void handleState(HttpExchange exchange) throws IOException {
        respond(
                exchange,
                Map.of(
                        "executions", engine.executions(),
                        "key_seen", engine.keySeen(),
                        "peak_bytes", memory.peakBytes(),
                        "running", engine.running()));
    }

    private static void respond(HttpExchange exchange, Map<String, ?> body) throws IOException {
        try (exchange) {
            byte[] encoded = MAPPER.writeValueAsBytes(body);
            exchange.getResponseHeaders().set("Content-Type", "application/json");
            exchange.sendResponseHeaders(200, encoded.length);
            exchange.getResponseBody().write(encoded);
        }
    }
}
