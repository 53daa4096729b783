package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.BeginEvacuation;
import org.basilrill.state.control.ControlCommand.ReleaseSuspect;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlCommand.ReportCrashEvidence;
import org.basilrill.state.control.ControlCommand.RequestTrial;
import org.junit.jupiter.api.Test;

/** Guards against records that replicas of an earlier release refuse while the others apply them. */
class FormatLevelTest {
    @Test
    void evacuationsAndRulesThatNameRegionsNeedALevel() {
        assertThat(FormatLevel.requiredBy(new BeginEvacuation("north", 1)), is(FormatLevel.EVACUATION));
        assertThat(FormatLevel.requiredBy(rules("account a rate 1 burst 1 regions eu # ana")), is(1));
        assertThat(FormatLevel.requiredBy(rules("account a rate 1 burst 1 # ana")), is(FormatLevel.NONE));
    }

    @Test
    void evidenceAgainstRequestsNeedsALevelAndTheRecordsOfEarlierBuildsDoNot() {
        PromptPartId part = new PromptPartId("service", 1);
        assertThat(FormatLevel.requiredBy(new ReportCrashEvidence(List.of(), List.of(), 0)), is(2));
        assertThat(FormatLevel.requiredBy(new RequestTrial(part, 0)), is(FormatLevel.CRASH_EVIDENCE));
        assertThat(FormatLevel.requiredBy(new ReleaseSuspect(part)), is(FormatLevel.CRASH_EVIDENCE));
        assertThat(FormatLevel.requiredBy(new ReportCrash("f", new TargetId("t"), 1, 0)), is(FormatLevel.NONE));
    }

    private static ReplaceRules rules(String text) {
        return new ReplaceRules(0, text, "ana");
    }
}
