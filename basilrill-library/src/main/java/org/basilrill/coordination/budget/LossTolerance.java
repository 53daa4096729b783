package org.basilrill.coordination.budget;

/**
 * What an account may spend above its limits because the owner of its bucket was lost. Immutable and thread safe.
 *
 * @param tokens tokens in any window of the limits, over all losses; 0 if the limits hold without exception
 */
public record LossTolerance(long tokens) {
    /** The limits hold without exception. */
    public static final LossTolerance NONE = new LossTolerance(0);

    /** Two owners in a row may be lost within one window. */
    private static final int LOSSES_IN_A_WINDOW = 2;

    /** Returns whether the next owner may begin while grants of the lost one are still valid. */
    boolean coversOpenGrants() {
        return tokens > 0;
    }

    /** Returns the level from which the next owner begins. */
    long startTokens(long burst) {
        return Math.min(burst, tokens / LOSSES_IN_A_WINDOW);
    }
}
