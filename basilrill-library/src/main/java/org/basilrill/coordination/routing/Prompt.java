package org.basilrill.coordination.routing;

import java.util.List;

/**
 * The prompt of a request as far as routing is concerned: its prefixes and how much each part adds. Immutable and
 * thread safe.
 *
 * @param prefixHashes hashes of the prefixes, shortest first: each part together with all parts before it
 * @param partTokens tokens of each part, in the same order
 */
public record Prompt(List<Long> prefixHashes, List<Long> partTokens) {
    private static final Prompt NONE = new Prompt(List.of(), List.of());

    public Prompt {
        prefixHashes = List.copyOf(prefixHashes);
        partTokens = List.copyOf(partTokens);
        if (prefixHashes.size() != partTokens.size()) {
            throw new IllegalArgumentException(
                    prefixHashes.size() + " prefixes have " + partTokens.size() + " token counts");
        }
    }

    /** Returns the prompt of a request that has none. */
    public static Prompt none() {
        return NONE;
    }

    /**
     * Returns a prompt whose parts are equally long.
     *
     * @param tokens tokens of all parts together
     */
    public static Prompt ofEqualParts(List<Long> prefixHashes, long tokens) {
        long ofPart = tokens / Math.max(1, prefixHashes.size());
        return new Prompt(
                prefixHashes, prefixHashes.stream().map(hash -> ofPart).toList());
    }

    /** Returns whether there is nothing that a target could have cached. */
    public boolean isEmpty() {
        return prefixHashes.isEmpty();
    }

    /** Returns the tokens of all parts. */
    public long tokens() {
        return tokensOf(partTokens.size());
    }

    /** Returns the tokens of the first parts. */
    public long tokensOf(int parts) {
        long tokens = 0;
        for (int index = 0; index < parts; index++) {
            tokens += partTokens.get(index);
        }
        return tokens;
    }

    /** Returns the tokens of the last part, which no target has read before. */
    public long ownTokens() {
        return partTokens.isEmpty() ? 0 : partTokens.get(partTokens.size() - 1);
    }

    /** Returns the number of parts that other requests may share: all but the last, which is the request's own. */
    public int sharedParts() {
        return Math.max(0, partTokens.size() - 1);
    }
}
