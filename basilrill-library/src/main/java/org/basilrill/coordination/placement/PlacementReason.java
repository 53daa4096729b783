package org.basilrill.coordination.placement;

/** Reason for a planned load or unload. */
public enum PlacementReason {
    NO_COPY("the model has no copy"),
    CALLERS_WAITING("callers wait for the model"),
    BELOW_MINIMUM("fewer copies than the minimum"),
    DEMAND("the demand calls for more copies"),
    VERSION("the version in the rules changed"),
    ADAPTER_IN_USE("the adapter is in use"),
    MEMORY_NEEDED("another model needs the memory"),
    RELOCATION("a copy elsewhere lets this one go for a model without a copy"),
    OUTDATED("copies of the version in the rules are ready"),
    ABOVE_MAXIMUM("more copies than the maximum"),
    NOT_IN_RULES("the rules no longer name it");

    private final String text;

    PlacementReason(String text) {
        this.text = text;
    }

    /** Returns the description that logs and the administration API show. */
    public String text() {
        return text;
    }
}
