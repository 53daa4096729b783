package org.basilrill.coordination.routing;

import java.util.List;

/**
 * The prompt of a request as used for routing: the hashes of its prefixes and the tokens of its parts. Immutable and
 * thread safe.
 *
 * @param prefixHashes hashes of the prefixes, shortest first; each covers a part together with all parts before it
 * @param partTokens tokens of each part, in the same order
 */
public record Prompt(List<Long> prefixHashes, List<Long> partTokens) {
    private static final Prompt NONE = new Prompt(List.of(), List.of());

    public Prompt {
        prefixHashes = List.copyOf(prefixHashes);
        partTokens = List.copyOf(partTokens);
        if (prefixHashes.size() != partTokens.size()) {
            throw new IllegalArgumentException(
                    prefixHashes.size() + " prefix hashes do not match " + partTokens.size() + " token counts");
        }
    }

    /** Returns the empty prompt, for requests without one. */
    public static Prompt none() {
        return NONE;
    }

    /**
     * Returns a prompt whose parts all have the same number of tokens.
     *
     * @param tokens total tokens of all parts
     */
    public static Prompt ofEqualParts(List<Long> prefixHashes, long tokens) {
        long tokensPerPart = tokens / Math.max(1, prefixHashes.size());
        return new Prompt(
                prefixHashes, prefixHashes.stream().map(hash -> tokensPerPart).toList());
    }

    /** Returns whether the prompt has no prefixes that a target could have cached. */
    public boolean isEmpty() {
        return prefixHashes.isEmpty();
    }

    /** Returns the tokens of all parts. */
    public long tokens() {
        return tokensOfFirstParts(partTokens.size());
    }

    /** Returns the total tokens of the given number of parts from the beginning. */
    public long tokensOfFirstParts(int parts) {
        long tokens = 0;
        for (int index = 0; index < parts; index++) {
            tokens += partTokens.get(index);
        }
        return tokens;
    }

    /** Returns the tokens of the last part, which no target has cached. */
    public long lastPartTokens() {
        return partTokens.isEmpty() ? 0 : partTokens.get(partTokens.size() - 1);
    }

    /**
     * Returns the number of parts that other requests may share: all but the last, which is specific to the request.
     */
    public int sharedParts() {
        return Math.max(0, partTokens.size() - 1);
    }
}
