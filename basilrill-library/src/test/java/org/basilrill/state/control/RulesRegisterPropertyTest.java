package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.basilrill.api.ErrorCode;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.state.control.ControlResult.RulesAccepted;
import org.basilrill.state.control.ControlResult.RulesConflict;

/** Guards compare-and-set of the rules against lost updates, updates applied twice and revisions that decrease. */
class RulesRegisterPropertyTest {
    private static final String INVALID = "account # Ana";

    @Property(tries = 400, seed = "4211")
    void replacementsMatchAListOfAcceptedTexts(@ForAll("choices") List<Integer> choices) {
        MachineHarness harness = new MachineHarness();
        List<ReplaceRules> accepted = new ArrayList<>();
        List<ReplaceRules> sent = new ArrayList<>();
        for (int choice : choices) {
            if (choice % 10 == 0) {
                harness.restart();
            }
            ReplaceRules command = choice % 3 == 0 && !sent.isEmpty()
                    ? sent.get(choice / 10 % sent.size())
                    : replacement(choice / 10, accepted.size());
            sent.add(command);
            ControlResult expected = expected(command, accepted);
            ControlResult result = harness.apply(command);
            if (command.text().equals(INVALID) && expected == null) {
                assertThat(((Refused) result).code(), is(ErrorCode.RULES_INVALID));
            } else {
                assertThat(result, is(expected));
            }
            assertThat(harness.machine().view().rules().revision(), is((long) accepted.size()));
            String text =
                    accepted.isEmpty() ? "" : accepted.get(accepted.size() - 1).text();
            assertThat(harness.machine().rulesText(), is(text));
        }
    }

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Choices.sequences(0, 60);
    }

    @Example
    void ofTwoConcurrentReplacementsOneIsRefusedWithTheOperatorOfTheOther() {
        MachineHarness harness = new MachineHarness();
        assertThat(harness.apply(new ReplaceRules(0, text(1), "ana")), is(new RulesAccepted(1)));
        assertThat(harness.apply(new ReplaceRules(0, text(2), "luis")), is(new RulesConflict(1, "ana")));
        assertThat(harness.apply(new ReplaceRules(0, text(1), "ana")), is(new RulesAccepted(1)));
    }

    @Example
    void aResentReplacementIsAcceptedAgainEvenAfterLaterChanges() {
        MachineHarness harness = new MachineHarness();
        harness.apply(new ReplaceRules(0, text(1), "ana"));
        for (int revision = 1; revision < 300; revision++) {
            harness.apply(new ReplaceRules(revision, text(revision + 1), "luis"));
        }
        harness.restart();
        assertThat(harness.apply(new ReplaceRules(0, text(1), "ana")), is(new RulesAccepted(1)));
        assertThat(harness.machine().view().rules().revision(), is(300L));
    }

    @Example
    void aRefusalListsEveryFaultAndLeavesTheRulesAsTheyAre() {
        MachineHarness harness = new MachineHarness();
        ControlResult result = harness.apply(new ReplaceRules(0, "bad\nworse # Ana", "ana"));
        assertThat(result, is(instanceOf(Refused.class)));
        assertThat(((Refused) result).detail(), containsString("rules:1: bad: REQUESTER_MISSING"));
        assertThat(((Refused) result).detail(), containsString("rules:2: worse: UNKNOWN_RULE"));
        assertThat(harness.machine().view(), is(ControlView.empty()));
    }

    /** Returns the expected result, or null where only its error code is known. Adds the command if it is accepted. */
    private static ControlResult expected(ReplaceRules command, List<ReplaceRules> accepted) {
        int base = (int) command.expectedRevision();
        if (base < accepted.size() && accepted.get(base).text().equals(command.text())) {
            return new RulesAccepted(base + 1L);
        }
        if (base != accepted.size()) {
            int winner = Math.min(base, accepted.size() - 1);
            return new RulesConflict(
                    accepted.size(),
                    accepted.isEmpty() ? "" : accepted.get(winner).operator());
        }
        if (command.text().equals(INVALID)) {
            return null;
        }
        accepted.add(command);
        return new RulesAccepted(accepted.size());
    }

    private static ReplaceRules replacement(int choice, int revision) {
        int expected = Math.max(0, revision + 1 - choice % 4);
        String text = choice / 4 % 5 == 0 ? INVALID : text(choice / 4 % 5);
        return new ReplaceRules(expected, text, "operator" + choice / 20 % 3);
    }

    private static String text(int number) {
        return "account a" + number + " rate 1 burst 1 # Ana";
    }
}
