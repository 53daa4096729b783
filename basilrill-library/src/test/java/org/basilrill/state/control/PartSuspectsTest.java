package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.stream.LongStream;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.PartAnswer;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlCommand.ReportPartAnswers;
import org.basilrill.state.control.ControlCommand.RequestPartTrial;
import org.basilrill.thrift.control.MachineState;
import org.junit.jupiter.api.Test;

/** Tests which prompt parts are held responsible for crashed targets. */
class PartSuspectsTest {
    private static final PromptPartId SYSTEM_PROMPT = part(1);
    private static final PromptPartId CRASHING = part(2);
    private static final PromptPartId DOCUMENT = part(3);
    private static final long RUNNING_MILLIS = 100;
    private static final long SECOND = 1000;

    private final CrashSuspects suspects = new CrashSuspects();

    /** Guards against a count of crashes that never reaches the limit because no request is the same twice. */
    @Test
    void aPartThatNeverGetsAResponseIsBlockedAtTheThirdCrash() {
        assertThat(crash("a", 1, SECOND, CRASHING), is(empty()));
        assertThat(crash("b", 1, 2 * SECOND, CRASHING), is(empty()));
        assertThat(crash("c", 1, 3 * SECOND, CRASHING), contains(CRASHING));
    }

    /** Guards against sound parts that are blocked because they were in the company of the crashing one. */
    @Test
    void oneCrashingPartAmongSixtyIsFoundOnceTheOthersGetResponses() {
        PromptPartId[] parts =
                LongStream.range(0, 60).mapToObj(PartSuspectsTest::part).toArray(PromptPartId[]::new);
        for (int number = 1; number <= 3; number++) {
            crash("engine-" + number, 1, number * 10 * SECOND, parts);
            for (PromptPartId part : parts) {
                if (!part.equals(CRASHING)) {
                    answered(part, 10, number * 10 * SECOND + SECOND);
                }
            }
        }
        assertThat(blocked(), contains(CRASHING));
        assertThat(suspects.view(), hasSize(1));
    }

    /** Guards against crashes of one part that are explained by another one. */
    @Test
    void twoCrashingPartsAreBothBlocked() {
        for (int number = 1; number <= 3; number++) {
            crash("a" + number, 1, number * SECOND, SYSTEM_PROMPT, CRASHING);
            crash("b" + number, 1, number * SECOND + 500, SYSTEM_PROMPT, DOCUMENT);
            answered(SYSTEM_PROMPT, 0, number * SECOND + 700);
        }
        assertThat(blocked(), contains(CRASHING, DOCUMENT));
    }

    /** Guards against parts that are blocked because a rack with all their targets lost power at once. */
    @Test
    void targetsThatAreLostTogetherCountAsOneCrash() {
        for (int number = 1; number <= 10; number++) {
            crash("engine-" + number, 1, SECOND + number, SYSTEM_PROMPT);
        }
        assertThat(blocked(), is(empty()));
    }

    /** Guards against a part that stays unblocked because its requests crash several targets at the same time. */
    @Test
    void aPartWhoseRequestsCrashSeveralTargetsAtOnceIsBlockedAfterTheNextCrash() {
        for (int number = 1; number <= 4; number++) {
            crash("engine-" + number, 1, SECOND + number, CRASHING);
        }
        assertThat(crash("engine-5", 1, 5 * SECOND, CRASHING), contains(CRASHING));
    }

    /** Guards against one crash that counts once for each request that it ended. */
    @Test
    void reportsOfTheSameCrashCountOnce() {
        crash("a", 1, SECOND, CRASHING);
        crash("a", 1, 3 * SECOND, CRASHING);
        crash("a", 1, 5 * SECOND, CRASHING);
        assertThat(suspects.view().get(0).crashes(), is(1));
    }

    /** Guards against a part of an earlier software version that keeps the credit of its earlier responses. */
    @Test
    void aResponseThatBeganBeforeTheCrashesClearsNothing() {
        crash("a", 1, 10 * SECOND, CRASHING);
        crash("b", 1, 11 * SECOND, CRASHING);
        answered(CRASHING, 5 * SECOND, 12 * SECOND);
        assertThat(crash("c", 1, 13 * SECOND, CRASHING), contains(CRASHING));
    }

    /** Guards against a sound part that stays blocked after it was seen only with the crashing part for a while. */
    @Test
    void aBlockedPartIsReleasedByAResponseThatBeganAfterTheCrashes() {
        for (int number = 1; number <= 3; number++) {
            crash("engine-" + number, 1, number * SECOND, CRASHING, DOCUMENT);
        }
        assertThat(blocked(), contains(CRASHING, DOCUMENT));
        answered(DOCUMENT, 0, 4 * SECOND);
        assertThat(blocked(), contains(CRASHING));
    }

    /** Guards against rare sound parts that are blocked for crashes that blocked parts have caused. */
    @Test
    void aPartWhoseCrashesOtherBlockedPartsExplainIsNotBlocked() {
        PromptPartId second = part(4);
        for (int number = 1; number <= 3; number++) {
            crash("a" + number, 1, number * SECOND, CRASHING, DOCUMENT);
            crash("b" + number, 1, number * SECOND + 500, second, DOCUMENT);
        }
        crash("a4", 1, 5 * SECOND, CRASHING);
        crash("b4", 1, 6 * SECOND, second);
        assertThat(blocked(), containsInAnyOrder(CRASHING, second));
        assertThat(crash("c", 1, 8 * SECOND, DOCUMENT), contains(DOCUMENT));
    }

    /** Guards against a shared system prompt that is refused because three quick crashes do not tell it apart. */
    @Test
    void partsWithTheSameCrashesAreRefusedOnlyTogether() {
        crash("a", 1, SECOND, SYSTEM_PROMPT, CRASHING);
        crash("b", 1, 2 * SECOND, SYSTEM_PROMPT, CRASHING);
        assertThat(crash("c", 1, 3 * SECOND, SYSTEM_PROMPT, CRASHING), contains(SYSTEM_PROMPT, CRASHING));
        assertThat(crash("c", 1, 3 * SECOND, SYSTEM_PROMPT), is(empty()));
        answered(SYSTEM_PROMPT, 0, 4 * SECOND);
        assertThat(crash("c", 1, 4 * SECOND, CRASHING, DOCUMENT), contains(CRASHING));
    }

    /** Guards against made-up parts that fill the memory or displace a part that is blocked. */
    @Test
    void aMillionPartsNeitherFillTheMemoryNorDisplaceABlockedPart() {
        for (int number = 1; number <= 3; number++) {
            crash("engine-" + number, 1, number * SECOND, CRASHING);
        }
        for (int report = 0; report < 31_250; report++) {
            long first = 100 + report * 32L;
            crash(
                    "other",
                    report,
                    10 * SECOND,
                    LongStream.range(first, first + 32)
                            .mapToObj(PartSuspectsTest::part)
                            .toArray(PromptPartId[]::new));
        }
        assertThat(blocked(), contains(CRASHING));
        assertThat(suspects.view().size(), lessThanOrEqualTo(512));
    }

    /** Guards against a block that never ends, and against trials that crash one target after the other. */
    @Test
    void aBlockedPartIsTriedOnceAfterEachBlockAndTheBlocksGrow() {
        for (int number = 1; number <= 3; number++) {
            crash("engine-" + number, 1, number * SECOND, CRASHING);
        }
        long first = 3 * SECOND + Duration.ofSeconds(5).toMillis();
        assertThat(trial(first - 1), is(instanceOf(ControlResult.Refused.class)));
        assertThat(trial(first), is(new ControlResult.Done()));
        assertThat(trial(first), is(instanceOf(ControlResult.Refused.class)));
        long second = first + Duration.ofMinutes(1).toMillis();
        assertThat(trial(second - 1), is(instanceOf(ControlResult.Refused.class)));
        assertThat(trial(second), is(new ControlResult.Done()));
        answered(CRASHING, 0, second + 100);
        assertThat(suspects.view(), is(empty()));
    }

    /** Guards against one trial for each part of a group, each of which costs a target. */
    @Test
    void aGroupOfPartsIsTriedOnce() {
        for (int number = 1; number <= 3; number++) {
            crash("engine-" + number, 1, number * SECOND, SYSTEM_PROMPT, CRASHING);
        }
        long due = 8 * SECOND;
        assertThat(trial(due), is(new ControlResult.Done()));
        assertThat(trial(SYSTEM_PROMPT, due), is(instanceOf(ControlResult.Refused.class)));
    }

    /** Guards against an operator's release that a replica forgets or a crash report that follows it. */
    @Test
    void aReleasedPartIsBlockedAgainOnlyAfterNewCrashes() {
        for (int number = 1; number <= 3; number++) {
            crash("engine-" + number, 1, number * SECOND, CRASHING);
        }
        assertThat(apply(new ControlCommand.ReleasePart(CRASHING), 4 * SECOND), is(new ControlResult.Done()));
        assertThat(crash("engine-4", 1, 5 * SECOND, CRASHING), is(empty()));
    }

    /** Guards against a replica that restarts from a snapshot and forgets what is blocked. */
    @Test
    void theSnapshotKeepsBlocksAndCounts() {
        for (int number = 1; number <= 3; number++) {
            crash("engine-" + number, 1, number * SECOND, CRASHING);
        }
        crash("engine-4", 1, 5 * SECOND, DOCUMENT);
        CrashSuspects restored = new CrashSuspects();
        restored.restore(state(suspects));
        assertThat(restored.view(), is(suspects.view()));
        assertThat(state(restored), is(state(suspects)));
    }

    private List<PromptPartId> crash(String target, long incarnation, long nowMillis, PromptPartId... parts) {
        ReportCrash report =
                new ReportCrash("f", new TargetId(target), incarnation, nowMillis, List.of(parts), RUNNING_MILLIS);
        return ((ControlResult.CrashCount) apply(report, nowMillis)).blockedParts();
    }

    private void answered(PromptPartId part, long ageMillis, long nowMillis) {
        apply(new ReportPartAnswers(List.of(new PartAnswer(part, ageMillis)), nowMillis), nowMillis);
    }

    private ControlResult trial(long nowMillis) {
        return trial(CRASHING, nowMillis);
    }

    private ControlResult trial(PromptPartId part, long nowMillis) {
        return apply(new RequestPartTrial(part, nowMillis), nowMillis);
    }

    private ControlResult apply(ControlCommand command, long nowMillis) {
        return suspects.apply(command, nowMillis).orElseThrow();
    }

    private static MachineState state(CrashSuspects suspects) {
        MachineState state = new MachineState();
        suspects.addTo(state);
        return state;
    }

    private List<PromptPartId> blocked() {
        return suspects.view().stream()
                .filter(CrashSuspect::blocked)
                .map(suspect -> (PromptPartId) suspect.id())
                .toList();
    }

    private static PromptPartId part(long value) {
        return new PromptPartId("service", value);
    }
}
