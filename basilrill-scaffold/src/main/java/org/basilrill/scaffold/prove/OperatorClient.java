package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.scaffold.prove.Exchange.Call;

/** Sends requests to the administration routes with the key of an operator. Thread safe. */
final class OperatorClient {
    private static final Duration READ_DEADLINE = Duration.ofSeconds(2);
    private static final Duration WRITE_DEADLINE = Duration.ofSeconds(6);

    private final LoadClient client;

    OperatorClient(LoadClient client) {
        this.client = client;
    }

    static Call get(String path) {
        return new Call("GET", path, RuleText.OPERATOR_KEY, "", Optional.empty(), READ_DEADLINE);
    }

    Exchange status(String address) throws InterruptedException {
        return client.send(address, get("/admin/status"));
    }

    Exchange rules(String address) throws InterruptedException {
        return client.send(address, get("/admin/rules"));
    }

    Exchange accounts(String address) throws InterruptedException {
        return client.send(address, get("/admin/accounts"));
    }

    /** Requests to replace the rules, on condition that the expected revision is in force. */
    Exchange replace(String address, long expectedRevision, String text) throws InterruptedException {
        return client.send(
                address,
                new Call(
                        "PUT",
                        "/admin/rules?revision=" + expectedRevision,
                        RuleText.OPERATOR_KEY,
                        text,
                        Optional.empty(),
                        WRITE_DEADLINE));
    }
}
