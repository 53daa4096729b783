package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsInAnyOrder;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.SuspectId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.LostRequest;
import org.basilrill.state.control.ControlCommand.ReleaseSuspect;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlCommand.ReportCrashEvidence;
import org.basilrill.state.control.ControlCommand.RequestTrial;
import org.basilrill.state.control.ControlCommand.SuspectAnswer;
import org.junit.jupiter.api.Test;

/** Tests which whole requests are held responsible for crashed targets. */
class RequestSuspectsTest {
    private static final SuspectId READ = new RequestFingerprintId("a1");
    private static final SuspectId CRASHING = new RequestFingerprintId("c1");
    private static final SuspectId PART = new PromptPartId("service", 1);
    private static final Optional<String> OLD_VERSION = Optional.of("v1");
    private static final Optional<String> NEW_VERSION = Optional.of("v2");
    private static final long RUNNING_MILLIS = 100;
    private static final long SECOND = 1000;
    private static final long HOUR = 3600 * SECOND;
    private static final long FIRST_TRIAL = Duration.ofSeconds(5).toMillis();
    private static final long SECOND_TRIAL =
            Duration.ofMinutes(12).plusSeconds(30).toMillis();

    private final MachineHarness harness = new MachineHarness();

    /** Guards against a request that is never refused because its only target comes back under the same name. */
    @Test
    void aRequestIsBlockedAtTheThirdCrashOfOneTarget() {
        assertThat(crash("a", 1, 10 * SECOND, CRASHING), is(empty()));
        assertThat(crash("a", 2, 14 * SECOND, CRASHING), is(empty()));
        assertThat(crash("a", 3, 18 * SECOND, CRASHING), contains(CRASHING));
    }

    /** Guards against a crash that is taken for the one before, as the new incarnation was not announced yet. */
    @Test
    void aRequestSentAfterTheCrashOfAnIncarnationReachedAnotherOne() {
        crash("a", 1, 10 * SECOND, CRASHING);
        crash("a", 1, 14 * SECOND, CRASHING);
        assertThat(crash("a", 1, 18 * SECOND, CRASHING), contains(CRASHING));
    }

    /** Guards against a sound request that is refused for a day because it ran at two targets that ended by chance. */
    @Test
    void twoCrashesByChanceBlockNothing() {
        crash("a", 1, 10 * SECOND, READ);
        crash("b", 1, 16 * SECOND, READ);
        assertThat(blocked(), is(empty()));
    }

    /** Guards against crashes that add up over hours although the request was served in between. */
    @Test
    void aResponseToARequestSentAfterACrashClearsIt() {
        for (int hour = 1; hour <= 12; hour++) {
            assertThat(crash("a", hour, hour * HOUR, READ), is(empty()));
            answered(READ, SECOND, hour * HOUR + 5 * SECOND, Optional.empty());
        }
    }

    /** Guards against evidence for a request from before the crash, such as an answer that was reported late. */
    @Test
    void aResponseToARequestSentBeforeTheCrashClearsNothing() {
        crash("a", 1, 10 * SECOND, CRASHING);
        crash("a", 2, 14 * SECOND, CRASHING);
        answered(CRASHING, 8 * SECOND, 15 * SECOND, Optional.empty());
        assertThat(crash("a", 3, 18 * SECOND, CRASHING), contains(CRASHING));
    }

    /** Guards against a late report of an old crash that counts as a new one after the response that refutes it. */
    @Test
    void reportsThatArriveInAnotherOrderHaveTheSameEffect() {
        crash("a", 1, 10 * SECOND, READ);
        report(20 * SECOND, List.of(), List.of(new SuspectAnswer(READ, SECOND, Optional.empty())));
        List<SuspectAnswer> last = List.of(new SuspectAnswer(READ, 2 * SECOND, Optional.empty()));
        report(21 * SECOND, List.of(lost("b", 1, 11 * SECOND, READ)), last);
        report(21 * SECOND, List.of(lost("c", 1, 8 * SECOND, READ)), last);
        assertThat(blocked(), is(empty()));
        assertThat(harness.machine().view().suspects(), is(empty()));
    }

    /** Guards against a sound request that is refused because a rack with all its targets lost power, twice. */
    @Test
    void targetsLostTogetherCountAsOneCrash() {
        for (int target = 0; target < 40; target++) {
            crash("first-" + target, 1, 10 * SECOND + target * 10, READ);
        }
        assertThat(blocked(), is(empty()));
        answered(READ, SECOND, 20 * SECOND, Optional.empty());
        for (int target = 0; target < 40; target++) {
            crash("second-" + target, 1, 30 * SECOND + target * 10, READ);
        }
        assertThat(blocked(), is(empty()));
    }

    /** Guards against a request that spares itself the block because each of its retries crashes one more target. */
    @Test
    void aRequestWhoseRetriesCrashTargetsTogetherIsBlockedAtTheNextCrash() {
        crash("a", 1, 10 * SECOND, CRASHING);
        crash("b", 1, 10 * SECOND + 110, CRASHING);
        assertThat(crash("c", 1, 14 * SECOND, CRASHING), contains(CRASHING));
    }

    /** Guards against sound requests that are refused because they ran beside the crashing one. */
    @Test
    void aRequestBesideTheCrashingOneIsReleasedByItsResponse() {
        for (int number = 1; number <= 3; number++) {
            long now = number * 10 * SECOND;
            report(now, List.of(lost("a", number, 0, CRASHING), lost("a", number, 0, READ)), List.of());
        }
        assertThat(blocked(), containsInAnyOrder(CRASHING, READ));
        answered(READ, 0, 35 * SECOND, Optional.empty());
        assertThat(blocked(), contains(CRASHING));
    }

    /** Guards against prompt parts that are refused in all requests for the crashes of a single request. */
    @Test
    void aRequestExplainsTheCrashesOfItsParts() {
        for (int number = 1; number <= 3; number++) {
            crash("a", number, number * 10 * SECOND, CRASHING, PART);
        }
        assertThat(blocked(), contains(CRASHING));
    }

    /** Guards against single requests that are refused for the crashes of a part that others contain as well. */
    @Test
    void aPartExplainsTheCrashesOfItsRequests() {
        for (int number = 1; number <= 3; number++) {
            crash("a", number, number * 10 * SECOND, READ, PART);
        }
        assertThat(crash("a", 4, 40 * SECOND, CRASHING, PART), contains(PART));
        assertThat(blocked(), contains(PART));
    }

    /** Guards against crashes of a newer software version that go on, as targets of the older one respond. */
    @Test
    void aResponseClearsOnlyCrashesOfItsSoftwareVersion() {
        for (int number = 1; number <= 3; number++) {
            long now = number * 10 * SECOND;
            report(now, List.of(lost("new", number, NEW_VERSION, CRASHING)), List.of());
            answered(CRASHING, 0, now + 5 * SECOND, OLD_VERSION);
        }
        assertThat(blocked(), contains(CRASHING));
        answered(CRASHING, 0, 40 * SECOND, NEW_VERSION);
        assertThat(blocked(), is(empty()));
    }

    /** Guards against trials that crash more targets in a day than the block allows. */
    @Test
    void twoTrialsInADayArePermittedToARequestThatStillCrashesTargets() {
        block();
        int trials = 0;
        for (long now = 30 * SECOND; now <= 30 * SECOND + 24 * HOUR; now += SECOND) {
            if (trial(CRASHING, now) instanceof ControlResult.Done) {
                trials++;
                crash("a", 3 + trials, now + RUNNING_MILLIS, CRASHING);
            }
        }
        assertThat(trials, is(2));
    }

    /** Guards against two requests that are tried at once and cost two targets. */
    @Test
    void oneTrialIsOpenAtATime() {
        block();
        for (int number = 1; number <= 3; number++) {
            crash("b", number, (30 + number * 4) * SECOND, READ);
        }
        assertThat(trial(CRASHING, 60 * SECOND), is(new ControlResult.Done()));
        assertThat(trial(READ, 61 * SECOND), is(instanceOf(ControlResult.Refused.class)));
        answered(CRASHING, 0, 62 * SECOND, Optional.empty());
        assertThat(trial(READ, 62 * SECOND), is(new ControlResult.Done()));
    }

    /** Guards against a sound request that stays refused because the instance that tried it was lost. */
    @Test
    void aTrialWithoutAResultIsRepeated() {
        block();
        long first = 18 * SECOND + FIRST_TRIAL;
        assertThat(trial(CRASHING, first), is(new ControlResult.Done()));
        assertThat(trial(CRASHING, first + 29 * SECOND), is(instanceOf(ControlResult.Refused.class)));
        harness.restart();
        assertThat(trial(CRASHING, first + 30 * SECOND), is(new ControlResult.Done()));
    }

    /** Guards against a request that returns after hours and whose crashes have been forgotten. */
    @Test
    void crashesOfARequestAreKeptForADay() {
        crash("a", 1, HOUR, CRASHING);
        crash("a", 2, 9 * HOUR, CRASHING);
        harness.restart();
        assertThat(crash("a", 3, 20 * HOUR, CRASHING), contains(CRASHING));
        harness.restart();
        assertThat(blocked(), contains(CRASHING));
        assertThat(trial(READ, 45 * HOUR), is(instanceOf(ControlResult.Refused.class)));
        assertThat(blocked(), is(empty()));
    }

    /** Guards against a block that operators cannot lift. */
    @Test
    void aReleasedRequestIsBlockedAgainOnlyAfterNewCrashes() {
        block();
        assertThat(harness.apply(new ReleaseSuspect(CRASHING)), is(new ControlResult.Done()));
        assertThat(crash("a", 4, 40 * SECOND, CRASHING), is(empty()));
        assertThat(harness.apply(new ReleaseSuspect(READ)), is(instanceOf(ControlResult.Refused.class)));
    }

    /** Guards against a flood of requests that fills the memory or displaces a block. */
    @Test
    void aFloodOfLostRequestsNeitherFillsTheStateNorDisplacesABlock() {
        block();
        for (int report = 0; report < 100; report++) {
            int first = report * 256;
            List<LostRequest> lost = IntStream.range(first, first + 256)
                    .mapToObj(number -> lost("z", 1, 0, new RequestFingerprintId("made-up-" + number)))
                    .toList();
            report(20 * SECOND, lost, List.of());
        }
        assertThat(blocked(), contains(CRASHING));
        assertThat(harness.state().getRequestSuspects().size(), lessThanOrEqualTo(4096));
        assertThat(harness.machine().view().suspects().size(), is(1));
    }

    /** Guards against the blocks of an earlier build that last for a day after all instances have been replaced. */
    @Test
    void theFirstRecordOfEvidenceEndsTheCountsOfEarlierBuilds() {
        harness.apply(new ReportCrash("a1", new TargetId("a"), 1, SECOND));
        harness.apply(new ReportCrash("a1", new TargetId("b"), 1, 2 * SECOND));
        assertThat(harness.machine().view().blockedFingerprints(), contains("a1"));
        crash("c", 1, 3 * SECOND, CRASHING);
        harness.restart();
        assertThat(harness.machine().view().blockedFingerprints(), is(empty()));
        ControlResult counted = harness.apply(new ReportCrash("a1", new TargetId("a"), 2, 4 * SECOND));
        assertThat(counted, is(new ControlResult.CrashCount(0)));
    }

    private void block() {
        for (int number = 1; number <= 3; number++) {
            crash("a", number, (6 + number * 4) * SECOND, CRASHING);
        }
    }

    private List<SuspectId> crash(String target, long incarnation, long nowMillis, SuspectId... suspects) {
        return report(nowMillis, List.of(lost(target, incarnation, 0, suspects)), List.of());
    }

    private void answered(SuspectId suspect, long ageMillis, long nowMillis, Optional<String> version) {
        report(nowMillis, List.of(), List.of(new SuspectAnswer(suspect, ageMillis, version)));
    }

    private List<SuspectId> report(long nowMillis, List<LostRequest> lost, List<SuspectAnswer> answers) {
        ControlResult result = harness.apply(new ReportCrashEvidence(lost, answers, nowMillis));
        List<List<SuspectId>> refusing = ((ControlResult.CrashVerdicts) result).refusing();
        return refusing.isEmpty() ? List.of() : refusing.get(0);
    }

    private ControlResult trial(SuspectId suspect, long nowMillis) {
        return harness.apply(new RequestTrial(suspect, nowMillis));
    }

    private List<SuspectId> blocked() {
        return harness.machine().view().suspects().stream()
                .filter(CrashSuspect::blocked)
                .map(CrashSuspect::id)
                .toList();
    }

    private static LostRequest lost(String target, long incarnation, long ageMillis, SuspectId... suspects) {
        return new LostRequest(
                new TargetId(target), incarnation, Optional.empty(), ageMillis, RUNNING_MILLIS, List.of(suspects));
    }

    private static LostRequest lost(String target, long incarnation, Optional<String> version, SuspectId suspect) {
        return new LostRequest(new TargetId(target), incarnation, version, 0, RUNNING_MILLIS, List.of(suspect));
    }
}
