package org.basilrill.state.configuration;

/**
 * Reads the text in which operators write their rules. Implementations are deterministic, so that every replica reads
 * the same rules from the same text, stateless and thread safe.
 */
@FunctionalInterface
public interface RulesFormat {
    /**
     * Parses a complete text and reports its faults.
     *
     * @param revision revision of the returned rules
     */
    ParsedRules parse(String text, long revision);
}
