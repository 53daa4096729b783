package org.basilrill.api;

/** States whether a request that failed or was refused has run at a target. */
public enum Outcome {
    /** No byte of the request reached a target. The caller may safely send it again. */
    NOT_RUN("not_run"),
    /** The request reached a target, or may have; whether it ran is unknown. */
    MAY_HAVE_RUN("may_have_run"),
    /** The target ran the request. */
    RAN("ran");

    private final String wireName;

    Outcome(String wireName) {
        this.wireName = wireName;
    }

    /** Returns the value of the {@code outcome} field in error bodies. */
    public String wireName() {
        return wireName;
    }
}
