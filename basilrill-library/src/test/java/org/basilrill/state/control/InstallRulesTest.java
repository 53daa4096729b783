package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import org.basilrill.state.control.ControlCommand.InstallRules;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.state.control.ControlResult.RulesAccepted;
import org.junit.jupiter.api.Test;

/** Guards against rules that return to an older revision when changes overtake one another or are repeated. */
class InstallRulesTest {
    private static final String OLD = "account a rate 1 burst 1 # Ana";
    private static final String NEW = "account b rate 1 burst 1 # Ana";

    private final ControlStateMachine machine = new ControlStateMachine();
    private long index;

    private ControlResult install(long revision, String text) {
        InstallRules command = new InstallRules(revision, text, "ana");
        return ResultCodec.decode(machine.apply(++index, CommandCodec.encode(command)));
    }

    @Test
    void revisionNumbersMayHaveGaps() {
        assertThat(install(3, OLD), is(new RulesAccepted(3)));
        assertThat(install(17, NEW), is(new RulesAccepted(17)));
        assertThat(machine.view().rules().revision(), is(17L));
        assertThat(machine.rulesText(), is(NEW));
    }

    @Test
    void anOvertakenRevisionIsAcceptedAndChangesNothing() {
        install(17, NEW);
        assertThat(install(3, OLD), is(new RulesAccepted(17)));
        assertThat(machine.rulesText(), is(NEW));
    }

    @Test
    void otherTextUnderTheCurrentRevisionChangesNothing() {
        install(17, NEW);
        assertThat(install(17, OLD), is(new RulesAccepted(17)));
        assertThat(machine.rulesText(), is(NEW));
    }

    @Test
    void invalidRulesAreRefusedWhateverTheirRevision() {
        install(17, NEW);
        assertThat(install(18, "nonsense"), instanceOf(Refused.class));
        assertThat(install(3, "nonsense"), instanceOf(Refused.class));
        assertThat(machine.rulesText(), is(NEW));
    }

    @Test
    void aSnapshotKeepsTextAndRevision() {
        install(17, NEW);
        ControlStateMachine restored = new ControlStateMachine();
        restored.restore(machine.snapshot());
        assertThat(restored.view().rules().revision(), is(17L));
        assertThat(restored.rulesText(), is(NEW));
    }
}
