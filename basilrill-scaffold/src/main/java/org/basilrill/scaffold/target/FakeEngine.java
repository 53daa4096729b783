package org.basilrill.scaffold.target;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.sun.net.httpserver.HttpExchange;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.locks.LockSupport;

/**
 * Generates tokens for completions and executes service calls. Counts executions by request body, so that a test can
 * check whether an order ran twice, and records whether a request ever contained a caller's key. Thread safe.
 */
final class FakeEngine {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String REQUEST_ID = "X-Request-Id";
    /** Simulates a request that crashes an engine: a body that contains this word ends the process. */
    private static final String CRASH_WORD = "crash-this-target";

    private static final int CRASH_EXIT_CODE = 134;
    private static final int DEFAULT_TOKENS = 16;
    /** The value of this field is repeated in each token, so that a caller can match a response to its request. */
    private static final String USER = "user";

    /** Request bodies up to this length are repeated in the response of a service. */
    private static final int MAX_ECHO_LENGTH = 1024;

    private final String name;
    private final Duration tokenInterval;
    private final AtomicInteger running = new AtomicInteger();
    private final Map<String, Integer> executions = new ConcurrentHashMap<>();
    private volatile boolean keySeen;

    FakeEngine(FakeTargetSettings settings) {
        this.name = settings.name();
        this.tokenInterval = settings.tokenInterval();
    }

    int running() {
        return running.get();
    }

    Map<String, Integer> executions() {
        return Map.copyOf(executions);
    }

    boolean keySeen() {
        return keySeen;
    }

    void complete(HttpExchange exchange) throws IOException {
        running.incrementAndGet();
        try (exchange) {
            String body = readRequest(exchange);
            JsonNode request = MAPPER.readTree(body);
            int tokens = request.path("max_tokens").asInt(DEFAULT_TOKENS);
            if (request.path("stream").asBoolean(false)) {
                stream(exchange, tokens, request.path(USER).asText("t"));
            } else {
                pause(tokenInterval.multipliedBy(tokens));
                respond(exchange, completion(request.path("model").asText(), tokens));
            }
        } finally {
            running.decrementAndGet();
        }
    }

    void serve(HttpExchange exchange) throws IOException {
        running.incrementAndGet();
        try (exchange) {
            String body = readRequest(exchange);
            int count = executions.merge(body, 1, Integer::sum);
            pause(tokenInterval);
            String echo = body.length() <= MAX_ECHO_LENGTH ? body : "";
            respond(exchange, MAPPER.writeValueAsBytes(Map.of("target", name, "executions", count, "echo", echo)));
        } finally {
            running.decrementAndGet();
        }
    }

    private String readRequest(HttpExchange exchange) throws IOException {
        String body = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        if (exchange.getRequestHeaders().containsKey("Authorization")
                || String.valueOf(exchange.getRequestURI()).contains("key=")) {
            keySeen = true;
        }
        if (body.contains(CRASH_WORD)) {
            Runtime.getRuntime().halt(CRASH_EXIT_CODE);
        }
        String requestId = exchange.getRequestHeaders().getFirst(REQUEST_ID);
        if (requestId != null) {
            exchange.getResponseHeaders().set(REQUEST_ID, requestId);
        }
        return body;
    }

    private void stream(HttpExchange exchange, int tokens, String user) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "text/event-stream");
        exchange.sendResponseHeaders(200, 0);
        OutputStream output = exchange.getResponseBody();
        for (int token = 0; token < tokens; token++) {
            pause(tokenInterval);
            Map<String, Object> delta = Map.of("content", user + token + " ");
            Object[] choices = {new TreeMap<>(Map.of("index", 0, "delta", delta))};
            String event = "data: " + MAPPER.writeValueAsString(Map.of("choices", choices)) + "\n\n";
            output.write(event.getBytes(StandardCharsets.UTF_8));
            output.flush();
        }
        output.write("data: [DONE]\n\n".getBytes(StandardCharsets.UTF_8));
        output.flush();
    }

    private static byte[] completion(String model, int tokens) throws IOException {
        Map<String, Object> usage = Map.of("completion_tokens", tokens, "prompt_tokens", 1);
        return MAPPER.writeValueAsBytes(Map.of("model", model, "usage", usage, "choices", new Object[0]));
    }

    private static void respond(HttpExchange exchange, byte[] body) throws IOException {
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
    }

    private static void pause(Duration duration) {
        LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(duration.toMillis()));
    }
}
