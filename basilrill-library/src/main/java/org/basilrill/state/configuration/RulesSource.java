package org.basilrill.state.configuration;

/**
 * The text of one revision of the rules, with the comments of the operators. Immutable and thread safe.
 *
 * @param revision 0 before the first accepted rules
 */
public record RulesSource(long revision, String text) {}
