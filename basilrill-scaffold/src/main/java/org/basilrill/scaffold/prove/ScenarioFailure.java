package org.basilrill.scaffold.prove;

/** Ends a scenario whose expectation was not met. */
final class ProofFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ProofFailure(String expected, String saw) {
        super("expected " + expected + ", saw " + saw);
    }

    /** Fails unless the condition holds. */
    static void unless(boolean condition, String expected, Object saw) {
        if (!condition) {
            throw new ProofFailure(expected, String.valueOf(saw));
        }
    }
}
