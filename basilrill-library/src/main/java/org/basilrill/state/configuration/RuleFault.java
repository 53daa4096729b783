package org.basilrill.state.configuration;

import java.util.List;
import java.util.stream.Collectors;

/**
 * One fault of a rule file. Immutable and thread safe.
 *
 * @param line number of the line, 1 for the first
 * @param field name of the field concerned, or the rule kind if the fault concerns the whole rule
 */
public record RuleFault(int line, String field, RuleFaultCode code, String detail) {
    /** Returns a description that names the file, for an operator. */
    public String describe(String file) {
        return String.format("%s:%d: %s: %s: %s", file, line, field, code, detail);
    }

    /** Returns the descriptions of several faults, one on each line. */
    public static String describeAll(String file, List<RuleFault> faults) {
        return faults.stream().map(fault -> fault.describe(file)).collect(Collectors.joining("\n"));
    }
}
