package org.basilrill.scaffold.prove;

/** Thrown when an expectation of a scenario is not met. */
final class ScenarioFailure extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ScenarioFailure(String expected, String actual) {
        super("expected " + expected + ", saw " + actual);
    }

    /** Fails unless the condition holds. */
    static void unless(boolean condition, String expected, Object actual) {
        if (!condition) {
            throw new ScenarioFailure(expected, String.valueOf(actual));
        }
    }
}
