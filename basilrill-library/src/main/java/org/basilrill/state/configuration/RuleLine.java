package org.basilrill.state.configuration;

import java.math.BigDecimal;
import java.util.Arrays;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;

/** One rule line, split into words. Its readers record a fault instead of throwing an exception. Not thread safe. */
final class RuleLine {
    private static final char COMMENT = '#';

    private final int number;
    private final List<String> words;
    private final Collection<RuleFault> faults;
    private int position;

    private RuleLine(int number, List<String> words, Collection<RuleFault> faults) {
        this.number = number;
        this.words = words;
        this.faults = faults;
    }

    /** Splits a line; empty if it holds no rule. Records a fault if the line does not name who requested it. */
    static Optional<RuleLine> split(int number, String text, Collection<RuleFault> faults) {
        int comment = text.indexOf(COMMENT);
        String rule = (comment < 0 ? text : text.substring(0, comment)).strip();
        if (rule.isEmpty()) {
            return Optional.empty();
        }
        RuleLine line = new RuleLine(number, Arrays.asList(rule.split("\\s+")), faults);
        if (comment < 0 || text.substring(comment + 1).isBlank()) {
            line.fault(
                    line.kind(),
                    RuleFaultCode.REQUESTER_MISSING,
                    "the line must end with # and the name of who requested the rule");
        }
        line.position = 1;
        return Optional.of(line);
    }

    int number() {
        return number;
    }

    String kind() {
        return words.get(0);
    }

    boolean hasNext() {
        return position < words.size();
    }

    /** Reads the next word as the value of a required field; records a fault and returns empty if there is none. */
    Optional<String> next(String field) {
        if (!hasNext()) {
            fault(field, RuleFaultCode.MISSING_VALUE, "a value is required");
            return Optional.empty();
        }
        return Optional.of(words.get(position++));
    }

    /** Records a fault if there are unread words. */
    void expectEnd() {
        if (hasNext()) {
            String word = words.get(position);
            fault(word, RuleFaultCode.UNKNOWN_FIELD, "the rule ends before \"" + word + "\"");
            position = words.size();
        }
    }

    /**
     * Reads the remaining words as pairs of a field name and its value. Records faults for unknown and repeated names.
     */
    Map<String, String> fields(Collection<String> known) {
        Map<String, String> values = new HashMap<>();
        while (hasNext()) {
            String name = words.get(position++);
            if (!known.contains(name)) {
                fault(name, RuleFaultCode.UNKNOWN_FIELD, "rule " + kind() + " has no such field");
                skipValueUnlessKnown(known);
                continue;
            }
            Optional<String> value = next(name);
            if (value.isPresent() && values.put(name, value.get()) != null) {
                fault(name, RuleFaultCode.DUPLICATE, "the field may occur once");
            }
        }
        return values;
    }

    /** Reads a whole number within bounds; records a fault and returns empty if it is absent or wrong. */
    Optional<Long> number(
            String field,
            Optional<String> text,
            Function<String, Optional<BigDecimal>> reader,
            long minimum,
            long maximum) {
        return decimal(field, text, reader, minimum, maximum).map(BigDecimal::longValueExact);
    }

    /** Reads a number within bounds; records a fault and returns empty if it is absent or wrong. */
    Optional<BigDecimal> decimal(
            String field,
            Optional<String> text,
            Function<String, Optional<BigDecimal>> reader,
            long minimum,
            long maximum) {
        if (text.isEmpty()) {
            fault(field, RuleFaultCode.MISSING_VALUE, "a value is required");
            return Optional.empty();
        }
        Optional<BigDecimal> value = reader.apply(text.get());
        if (value.isEmpty()) {
            fault(field, RuleFaultCode.INVALID_VALUE, "\"" + text.get() + "\" is not a quantity of this field");
            return Optional.empty();
        }
        if (value.get().compareTo(BigDecimal.valueOf(minimum)) < 0
                || value.get().compareTo(BigDecimal.valueOf(maximum)) > 0) {
            String detail = String.format("%s is not between %d and %d", text.get(), minimum, maximum);
            fault(field, RuleFaultCode.OUT_OF_RANGE, detail);
            return Optional.empty();
        }
        return value;
    }

    void fault(String field, RuleFaultCode code, String detail) {
        faults.add(new RuleFault(number, field, code, detail));
    }

    /** Skips the value of an unknown field, so that it is not reported as a second unknown field. */
    private void skipValueUnlessKnown(Collection<String> known) {
        if (hasNext() && !known.contains(words.get(position))) {
            position++;
        }
    }
}
