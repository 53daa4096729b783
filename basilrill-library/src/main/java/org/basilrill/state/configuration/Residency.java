package org.basilrill.state.configuration;

import java.util.Optional;
import java.util.Set;

/**
 * The data centres in which a request may be served. Part of the destination of the request, so that every choice of a
 * target, a relay or a copy observes it. Immutable and thread safe.
 *
 * @param dataCentres the allowed data centres, possibly none; empty if all are allowed
 */
public record Residency(Optional<Set<String>> dataCentres) {
    /** Allows all data centres. */
    public static final Residency EVERYWHERE = new Residency(Optional.empty());

    public Residency {
        dataCentres = dataCentres.map(Set::copyOf);
    }

    /** Returns the residency of requests that may be served in these data centres only. */
    public static Residency within(Set<String> dataCentres) {
        return new Residency(Optional.of(dataCentres));
    }

    /** Returns whether some data centres are not allowed. */
    public boolean isRestricted() {
        return dataCentres.isPresent();
    }

    /** Returns whether the request may be served in the data centre. */
    public boolean allows(String dataCentre) {
        return dataCentres.isEmpty() || dataCentres.get().contains(dataCentre);
    }
}
