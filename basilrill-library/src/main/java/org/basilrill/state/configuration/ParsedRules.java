package org.basilrill.state.configuration;

import java.util.List;
import java.util.Optional;

/**
 * Result of parsing a rule file. Immutable and thread safe.
 *
 * @param rules present if and only if there is no fault
 * @param faults every fault found, ordered by line
 */
public record ParsedRules(Optional<Rules> rules, List<RuleFault> faults) {
    public ParsedRules {
        faults = List.copyOf(faults);
    }
}
