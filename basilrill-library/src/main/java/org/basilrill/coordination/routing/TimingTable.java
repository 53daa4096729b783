package org.basilrill.coordination.routing;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import org.basilrill.state.target.TargetAnnouncement;

/** The timings of each service, by its name; engines without one share an entry. Thread safe. */
final class TimingTable {
    /** Services come from announcements; above this number the others share one entry. */
    private static final int MAXIMUM_SERVICES = 1024;

    private static final String OTHERS = "";

    private final RoutingOptions options;
    private final Map<String, ServiceTimings> services = new ConcurrentHashMap<>();

    TimingTable(RoutingOptions options) {
        this.options = options;
    }

    ServiceTimings of(TargetAnnouncement target) {
        String name = target.service().orElse(OTHERS);
        ServiceTimings known = services.get(name);
        if (known != null) {
            return known;
        }
        String key = services.size() < MAXIMUM_SERVICES ? name : OTHERS;
        return services.computeIfAbsent(key, absent -> new ServiceTimings(options));
    }
}
