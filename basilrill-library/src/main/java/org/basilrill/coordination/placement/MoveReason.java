package org.basilrill.coordination.placement;

/** Why the placement asks a target to load or unload something. */
public enum MoveReason {
    NO_COPY("the model has no copy"),
    CALLERS_WAIT("callers wait for the model"),
    BELOW_MINIMUM("fewer copies than the minimum"),
    DEMAND("the demand calls for more copies"),
    VERSION("the version in the rules changed"),
    ADAPTER_IN_USE("the adapter is in use"),
    MAKE_ROOM("another model needs the memory"),
    MOVE_AWAY("a copy elsewhere lets this one go for a model without a copy"),
    OUTDATED("copies of the version in the rules are ready"),
    ABOVE_MAXIMUM("more copies than the maximum"),
    NOT_IN_RULES("the rules no longer name it");

    private final String text;

    MoveReason(String text) {
        this.text = text;
    }

    /** Returns the reason in words. */
    public String text() {
        return text;
    }
}
