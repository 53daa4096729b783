package org.basilrill.protocol.caller;

import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.Optional;
import java.util.stream.Collectors;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.Rules;

/**
 * Detects keys in data that is about to be sent to targets: the key presented with the request at any position, and any
 * key of the rules that is a complete text or the last word of one. Immutable and thread safe.
 */
public final class KeyGuard {
    private final Optional<String> presented;
    private final Rules rules;

    public KeyGuard(Optional<String> presented, Rules rules) {
        this.presented = presented;
        this.rules = rules;
    }

    /** Returns whether the text contains the presented key, or the text or its last word is a key of the rules. */
    public boolean reveals(String text) {
        String trimmed = text.trim();
        String lastWord = trimmed.substring(trimmed.lastIndexOf(' ') + 1);
        return presented.filter(text::contains).isPresent() || isKey(trimmed) || isKey(lastWord);
    }

    /** Returns whether the body contains the presented key. */
    public boolean reveals(byte[] body) {
        return presented
                .filter(key -> contains(body, key.getBytes(StandardCharsets.UTF_8)))
                .isPresent();
    }

    /** Returns the query without the parameters that reveal a key; empty if no parameters remain. */
    public Optional<String> withoutKeys(String query) {
        String kept = Arrays.stream(query.split("&"))
                .filter(parameter -> !parameter.isEmpty() && !parameterReveals(parameter))
                .collect(Collectors.joining("&"));
        return Optional.of(kept).filter(text -> !text.isEmpty());
    }

    private boolean parameterReveals(String parameter) {
        int separator = parameter.indexOf('=');
        String name = separator < 0 ? parameter : parameter.substring(0, separator);
        String value = separator < 0 ? "" : parameter.substring(separator + 1);
        return reveals(parameter) || reveals(decoded(parameter)) || reveals(decoded(name)) || reveals(decoded(value));
    }

    /**
     * Decodes a parameter. One that cannot be decoded is checked unchanged, because targets cannot decode it either.
     */
    private static String decoded(String text) {
        try {
            return URLDecoder.decode(text, StandardCharsets.UTF_8);
        } catch (IllegalArgumentException exception) {
            return text;
        }
    }

    private boolean isKey(String text) {
        if (text.isEmpty()) {
            return false;
        }
        KeyHash hash = KeyHash.of(text);
        return rules.keys().containsKey(hash) || rules.operators().containsKey(hash);
    }

    private static boolean contains(byte[] text, byte[] word) {
        for (int start = 0; start <= text.length - word.length; start++) {
            if (Arrays.equals(text, start, start + word.length, word, 0, word.length)) {
                return true;
            }
        }
        return false;
    }
}
