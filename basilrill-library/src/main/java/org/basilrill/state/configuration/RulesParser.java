package org.basilrill.state.configuration;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Parses and checks a rule file. Deterministic: the same text gives the same rules and faults on every replica.
 * Stateless and thread safe.
 */
public final class RulesParser {
    /** Bounds the entry that a change of the rules adds to the control log. 1,500 models need about 150 KB. */
    public static final int MAXIMUM_TEXT_LENGTH = 2 * 1024 * 1024;

    private RulesParser() {}

    /**
     * Parses a complete rule file and reports all its faults together.
     *
     * @param revision revision of the returned rules
     */
    public static ParsedRules parse(String text, long revision) {
        List<RuleFault> faults = new ArrayList<>();
        if (text.length() > MAXIMUM_TEXT_LENGTH) {
            String detail = String.format("%d characters exceed %d", text.length(), MAXIMUM_TEXT_LENGTH);
            faults.add(new RuleFault(1, "file", RuleFaultCode.FILE_TOO_LARGE, detail));
            return new ParsedRules(Optional.empty(), faults);
        }
        RulesBuilder builder = new RulesBuilder();
        String[] lines = text.split("\\R", -1);
        for (int index = 0; index < lines.length; index++) {
            RuleLine.split(index + 1, lines[index], faults).ifPresent(builder::add);
        }
        builder.checkReferences();
        if (faults.isEmpty()) {
            return new ParsedRules(Optional.of(builder.build(revision)), faults);
        }
        faults.sort(Comparator.comparingInt(RuleFault::line));
        return new ParsedRules(Optional.empty(), faults);
    }
}
