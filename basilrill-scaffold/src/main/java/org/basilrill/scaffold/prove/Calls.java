package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.scaffold.prove.Exchange.Call;

/** Creates the requests that scenarios send, and checks the responses to them. Stateless. */
final class Calls {
    private static final Duration DEADLINE = Duration.ofSeconds(10);

    private Calls() {}

    /** Returns a streamed completion; each token of the response repeats the id. */
    static Call stream(String account, String id, int tokens) {
        return stream(account, id, tokens, DEADLINE);
    }

    static Call stream(String account, String id, int tokens, Duration deadline) {
        String body = "{\"model\":\"" + RuleText.MODEL + "\",\"stream\":true,\"max_tokens\":" + tokens + ",\"user\":\""
                + id + "\",\"messages\":[{\"role\":\"user\",\"content\":\"match " + id + "\"}]}";
        return new Call("POST", "/v1/chat/completions", RuleText.keyOf(account), body, Optional.empty(), deadline);
    }

    /** Returns a call of the plain service that may run more than once. */
    static Call lookup(String account, String id) {
        return new Call(
                "PUT", servicePath("/lots"), RuleText.keyOf(account), orderBody(id), Optional.empty(), DEADLINE);
    }

    /** Returns a call of the route that needs no key. */
    static Call openRoute() {
        return new Call("GET", servicePath("/status"), "", "", Optional.empty(), DEADLINE);
    }

    /** Returns a call of the plain service that must run at most once. */
    static Call order(String account, String id, Duration deadline) {
        return new Call(
                "POST", servicePath("/orders"), RuleText.keyOf(account), orderBody(id), Optional.of(id), deadline);
    }

    /** Returns whether the response is complete and belongs to this request. */
    static boolean isComplete(Exchange exchange) {
        if (!exchange.ok()) {
            return false;
        }
        if (!exchange.call().path().startsWith("/v1/chat")) {
            return exchange.json().path("echo").asText().equals(exchange.call().body());
        }
        return exchange.body().equals(expectedStream(exchange.call()));
    }

    /** Returns the request body, by which the fake service counts executions. */
    static String orderBody(String id) {
        return "{\"order\":\"" + id + "\"}";
    }

    /** Returns the complete response to a streamed completion. */
    static String expectedStream(Call call) {
        int tokens = Integer.parseInt(between(call.body(), "\"max_tokens\":", ","));
        String id = between(call.body(), "\"user\":\"", "\"");
        StringBuilder expected = new StringBuilder();
        for (int token = 0; token < tokens; token++) {
            expected.append("data: {\"choices\":[{\"delta\":{\"content\":\"")
                    .append(id)
                    .append(token)
                    .append(" \"},\"index\":0}]}\n\n");
        }
        return expected.append("data: [DONE]\n\n").toString();
    }

    private static String between(String text, String before, String after) {
        int start = text.indexOf(before) + before.length();
        return text.substring(start, text.indexOf(after, start));
    }

    private static String servicePath(String path) {
        return "/v1/services/" + RuleText.SERVICE + path;
    }
}
