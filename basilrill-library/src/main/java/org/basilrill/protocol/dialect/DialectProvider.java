package org.basilrill.protocol.dialect;

import java.time.Duration;

/**
 * Creates the dialect selected by the settings. Discovered with {@link java.util.ServiceLoader}; implementations are
 * stateless.
 */
public interface DialectProvider {
    /** Returns the name of the dialect in the settings. */
    String name();

    /** Creates the dialect. */
    Dialect create(DialectOptions options);

    /**
     * The settings of a dialect.
     *
     * @param announcementValidity how long a target's announcement is valid if it states no time to live
     * @param listingValidity how long callers may use a list of instances
     * @param listedInstances maximum number of instances in one list
     */
    record DialectOptions(Duration announcementValidity, Duration listingValidity, int listedInstances) {}
}
