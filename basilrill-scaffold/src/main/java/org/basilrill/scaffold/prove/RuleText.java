package org.basilrill.scaffold.prove;

import java.util.Map;
import java.util.TreeMap;
import org.basilrill.state.configuration.KeyHash;

/** Builds the rules text of a scenario. Used by one thread at a time. */
final class RuleText {
    static final String OPERATOR_KEY = "brk-proof-operator";
    static final String MODEL = "medal-match";
    static final String SERVICE = "ledger";

    private static final String ORIGIN = "  # asked by the proof\n";
    private static final int AMPLE_TOKENS = 10_000_000;

    private final Map<String, String> accounts = new TreeMap<>();
    private final Map<String, String> keys = new TreeMap<>();

    /** Adds an account with one key, whose rate and burst no scenario exhausts. */
    RuleText account(String name) {
        return account(name, AMPLE_TOKENS, AMPLE_TOKENS);
    }

    RuleText account(String name, int tokensPerSecond, int burstTokens) {
        accounts.put(name, "rate " + tokensPerSecond + " burst " + burstTokens);
        keys.put(keyOf(name), name);
        return this;
    }

    /** Omits the key of an account from texts built from now on. */
    RuleText revoke(String name) {
        keys.remove(keyOf(name));
        return this;
    }

    static String keyOf(String account) {
        return "brk-proof-" + account;
    }

    /** Returns the rules text. The marker, which must be a valid name, distinguishes texts of the same rules. */
    String text(String marker) {
        StringBuilder text = new StringBuilder();
        accounts.forEach((name, limits) ->
                text.append("account ").append(name).append(' ').append(limits).append(ORIGIN));
        keys.forEach((key, account) -> text.append("key ")
                .append(account)
                .append(" sha256:")
                .append(KeyHash.of(key).hexadecimal())
                .append(ORIGIN));
        text.append("operator proof role admin sha256:")
                .append(KeyHash.of(OPERATOR_KEY).hexadecimal())
                .append(ORIGIN);
        text.append("model " + MODEL + " memory 1GiB copies 1..8 version 1" + ORIGIN);
        text.append("service " + SERVICE + " priority 0 order POST /orders" + ORIGIN);
        text.append("open GET /v1/services/" + SERVICE + "/status" + ORIGIN);
        text.append("account marker-").append(marker).append(" rate 1 burst 1").append(ORIGIN);
        return text.toString();
    }
}
