package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** Checks what callers received and what targets ran during a soak. Stateless. */
final class SoakChecks {
    private static final String NOT_RUN = "not_run";
    private static final String ERROR_EVENT = "event: error";

    private SoakChecks() {}

    /** Returns what is wrong with a response, as far as the response alone shows it. */
    static Optional<String> fault(Exchange exchange) {
        if (exchange.failure().equals(LoadClient.NO_RESPONSE)) {
            return Optional.of("no end of the response within the deadline and ten seconds: " + exchange.describe());
        }
        if (exchange.ok() && !Calls.isComplete(exchange) && !isCutWithError(exchange)) {
            return Optional.of("a response that is not the one to its request: " + exchange.describe());
        }
        return Optional.empty();
    }

    /** Fails if an order ran twice, or ran although its caller was told that it had not. */
    static void checkOrders(List<Exchange> history, List<Executions> services) {
        for (Exchange exchange : history) {
            if (exchange.call().idempotencyKey().isEmpty()) {
                continue;
            }
            int count = services.stream()
                    .mapToInt(executions -> executions.of(exchange.call()))
                    .sum();
            ScenarioFailure.unless(
                    count <= 1, "at most one execution of " + exchange.call().body(), count);
            boolean refused = exchange.hasResponse() && exchange.outcome().equals(NOT_RUN);
            ScenarioFailure.unless(
                    !refused || count == 0, "no execution of an order that was refused", exchange.describe());
            ScenarioFailure.unless(!exchange.ok() || count == 1, "one execution of a completed order", count);
        }
    }

    /** Fails if a target received the key of a caller. */
    static void checkKeys(Exchange targetState) {
        ScenarioFailure.unless(targetState.ok(), "the state of a target", targetState.describe());
        ScenarioFailure.unless(
                !targetState.json().path("key_seen").asBoolean(), "no key at a target", targetState.describe());
    }

    /** Returns the longest time that all instances may take to serve again after the last fault. */
    static Duration recoveryLimit() {
        return Duration.ofSeconds(40);
    }

    private static boolean isCutWithError(Exchange exchange) {
        int end = exchange.body().indexOf(ERROR_EVENT);
        return end >= 0
                && Calls.expectedStream(exchange.call())
                        .startsWith(exchange.body().substring(0, end).stripTrailing());
    }
}
