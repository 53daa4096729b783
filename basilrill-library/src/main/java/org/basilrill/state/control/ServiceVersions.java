package org.basilrill.state.control;

import java.util.Set;

/**
 * The software versions of the targets of one service. Immutable and thread safe.
 *
 * @param inService versions at which streams may begin
 * @param several whether streams of different versions may be in progress, so that each one is recorded
 */
public record ServiceVersions(String service, Set<String> inService, boolean several) {
    public ServiceVersions {
        inService = Set.copyOf(inService);
    }
}
