package org.basilrill.protocol.dialect;

import java.time.Duration;

/** Creates the dialect that the settings name. Found by the service loader; implementations are stateless. */
public interface DialectProvider {
    /** Returns the name by which the settings choose the dialect. */
    String name();

    /** Creates the dialect. */
    Dialect create(DialectOptions options);

    /**
     * What the settings say for a dialect.
     *
     * @param announcementValidity how long an announcement of a target holds that states no time itself
     * @param listingValidity how long callers may use the list of instances
     * @param listedInstances instances that one list names at most
     */
    record DialectOptions(Duration announcementValidity, Duration listingValidity, int listedInstances) {}
}
