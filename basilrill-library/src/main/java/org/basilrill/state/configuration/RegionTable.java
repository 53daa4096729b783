package org.basilrill.state.configuration;

import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The region of each data centre, as the settings state it. A data centre without an entry has no region, and is not
 * allowed where regions are named. Immutable and thread safe.
 *
 * @param regions region by data centre
 */
public record RegionTable(Map<String, String> regions) {
    /** Knows no region, so that a request that names regions is allowed nowhere. */
    public static final RegionTable EMPTY = new RegionTable(Map.of());

    public RegionTable {
        regions = Map.copyOf(regions);
    }

    /** Returns the region of a data centre. */
    public Optional<String> regionOf(String dataCentre) {
        return Optional.ofNullable(regions.get(dataCentre));
    }

    /**
     * Returns where a request may be served if both its route and its account may name regions.
     *
     * @param ofRoute regions that the route names; empty if it allows all
     * @param ofAccount regions that the account names; empty if it allows all
     */
    public Residency residency(Set<String> ofRoute, Set<String> ofAccount) {
        if (ofRoute.isEmpty() && ofAccount.isEmpty()) {
            return Residency.EVERYWHERE;
        }
        Set<String> dataCentres = new HashSet<>();
        regions.forEach((dataCentre, region) -> {
            boolean allowedByRoute = ofRoute.isEmpty() || ofRoute.contains(region);
            boolean allowedByAccount = ofAccount.isEmpty() || ofAccount.contains(region);
            if (allowedByRoute && allowedByAccount) {
                dataCentres.add(dataCentre);
            }
        });
        return Residency.within(dataCentres);
    }
}
