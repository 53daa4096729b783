package org.basilrill.coordination.budget;

/**
 * Tokens that an account may spend above its limits when the owner of its bucket is lost. Immutable and thread safe.
 *
 * @param tokens tokens above the limits in any window, over all losses; 0 if the limits hold without exception
 */
public record LossTolerance(long tokens) {
    /** The limits hold without exception. */
    public static final LossTolerance NONE = new LossTolerance(0);

    /** Two owners in a row may be lost within one window. */
    private static final int LOSSES_PER_WINDOW = 2;

    /** Returns whether the next owner may start while grants of the lost one are still valid. */
    boolean coversOpenGrants() {
        return tokens > 0;
    }

    /** Returns the level from which the next owner starts. */
    long startTokens(long burst) {
        return Math.min(burst, tokens / LOSSES_PER_WINDOW);
    }
}
