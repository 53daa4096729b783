package org.basilrill.state.control;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.TreeMap;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.ParsedRules;
import org.basilrill.state.configuration.RuleFault;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.configuration.RulesFormat;
import org.basilrill.state.control.ControlCommand.InstallRules;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.state.control.ControlResult.RulesAccepted;
import org.basilrill.state.control.ControlResult.RulesConflict;
import org.basilrill.thrift.control.AcceptedRulesState;
import org.basilrill.thrift.control.RulesState;

/**
 * The rules in force and the operator of each accepted revision. A replacement is accepted only against the current
 * revision, so of two operators who start from the same revision only one succeeds. Not thread safe.
 */
final class RulesRegister {
    /** Number of accepted changes retained to recognise a repeated command; there are about 240 a day. */
    private static final int HISTORY_LENGTH = 1_024;

    /** Bounds the length of the refusal of a file with very many faults. */
    private static final int MAXIMUM_REPORTED_FAULTS = 200;

    private static final String FILE = "rules";

    private final RulesFormat format;
    private final TreeMap<Long, Accepted> history = new TreeMap<>();
    private String text = "";
    private Rules rules = Rules.empty();

    RulesRegister(RulesFormat format) {
        this.format = format;
    }

    Rules rules() {
        return rules;
    }

    String text() {
        return text;
    }

    ControlResult replace(ReplaceRules command) {
        Accepted successor = history.get(command.expectedRevision() + 1);
        if (successor != null && successor.textHash().equals(hash(command.text()))) {
            return new RulesAccepted(command.expectedRevision() + 1);
        }
        if (command.expectedRevision() != rules.revision()) {
            return new RulesConflict(rules.revision(), winner(Optional.ofNullable(successor)));
        }
        return accept(rules.revision() + 1, command.text(), command.operator());
    }

    /** Accepts valid rules; they come into force only if their revision is higher than the current one. */
    ControlResult install(InstallRules command) {
        if (command.revision() > rules.revision()) {
            return accept(command.revision(), command.text(), command.operator());
        }
        ParsedRules parsed = format.parse(command.text(), command.revision());
        return parsed.rules().isEmpty() ? invalid(parsed) : new RulesAccepted(rules.revision());
    }

    private ControlResult accept(long revision, String newText, String operator) {
        ParsedRules parsed = format.parse(newText, revision);
        if (parsed.rules().isEmpty()) {
            return invalid(parsed);
        }
        rules = parsed.rules().get();
        text = newText;
        history.put(rules.revision(), new Accepted(hash(text), operator));
        while (history.size() > HISTORY_LENGTH) {
            history.pollFirstEntry();
        }
        return new RulesAccepted(rules.revision());
    }

    private static ControlResult invalid(ParsedRules parsed) {
        return new Refused(ErrorCode.RULES_INVALID, describe(parsed.faults()));
    }

    RulesState state() {
        List<AcceptedRulesState> accepted = new ArrayList<>();
        history.forEach((revision, entry) ->
                accepted.add(new AcceptedRulesState(revision, entry.textHash(), entry.operator())));
        return new RulesState(rules.revision(), text, accepted);
    }

    void restore(RulesState state) {
        text = state.getText();
        rules = state.getRevision() == 0
                ? Rules.empty()
                : format.parse(text, state.getRevision())
                        .rules()
                        .orElseThrow(() -> new BasilrillException(
                                ErrorCode.LOG_CORRUPT, "the rules of the snapshot cannot be parsed"));
        history.clear();
        state.getHistory()
                .forEach(entry ->
                        history.put(entry.getRevision(), new Accepted(entry.getTextHash(), entry.getOperatorName())));
    }

    /** Returns the operator of the successor or, if the history no longer has it, of the current revision. */
    private String winner(Optional<Accepted> successor) {
        return successor
                .or(() -> Optional.ofNullable(history.get(rules.revision())))
                .map(Accepted::operator)
                .orElse("");
    }

    private static String describe(List<RuleFault> faults) {
        List<RuleFault> reported = faults.subList(0, Math.min(faults.size(), MAXIMUM_REPORTED_FAULTS));
        String description = RuleFault.describeAll(FILE, reported);
        int omitted = faults.size() - reported.size();
        return omitted == 0 ? description : description + "\n" + omitted + " more faults";
    }

    private static String hash(String rulesText) {
        return KeyHash.of(rulesText).hexadecimal();
    }

    /** One accepted change. */
    private record Accepted(String textHash, String operator) {}
}
