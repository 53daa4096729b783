package org.basilrill.protocol.instance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import io.opentelemetry.api.OpenTelemetry;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.SuspectId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.crash.SuspectGuard;
import org.basilrill.coordination.crash.SuspectGuard.Block;
import org.basilrill.protocol.caller.RequestFingerprint;
import org.basilrill.protocol.instance.CoordinatorFixture.Started;
import org.basilrill.protocol.instance.FakeConnector.FakeCall;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlCommand.ReportCrashEvidence;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.Test;

/** Tests what an instance reports about requests that are lost, and which requests it refuses. */
class RequestCrashTest {
    private static final List<SuspectId> SUSPECTS = List.of(new RequestFingerprintId("a1"));

    private final CoordinatorFixture fixture =
            new CoordinatorFixture(3, OpenTelemetry.noop().getTracer("test"));

    /** Guards against one more target lost to a request that is resent before the next pull of the control state. */
    @Test
    void aRequestIsRefusedFromTheMomentItsThirdTargetWasLost() {
        fixture.connector().setAccepting(false);
        fixture.complete();
        for (int lost = 0; lost < 2; lost++) {
            last().send();
            last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        }
        assertThat(fixture.services().publishedFingerprints().isEmpty(), is(true));
        fixture.control().advanceTime(Duration.ofSeconds(2));
        fixture.complete();
        last().send();
        last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        byte[] body = CoordinatorFixture.COMPLETION.getBytes(StandardCharsets.UTF_8);
        String fingerprint = RequestFingerprint.ofContent(Optional.of(FakeServices.ACCOUNT), body);
        assertThat(fixture.services().publishedFingerprints(), is(List.of(fingerprint)));
        assertThat(fixture.control().view().blockedFingerprints().isEmpty(), is(true));
        Started refused = fixture.complete();
        assertThat(refused.stream().failedWith("CRASH_SUSPECT"), is(true));
        assertThat(refused.stream().reportsOutcome("not_run"), is(true));
        assertThat(refused.stream().terminations(), is(1));
        assertThat(fixture.connector().calls().size(), is(3));
    }

    /** Guards against sound requests that are refused because connections to targets that live on were reset. */
    @Test
    void resetConnectionsAreNoCrashes() {
        for (int number = 0; number < 4; number++) {
            fixture.complete();
            last().send();
            last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
            fixture.control().advanceTime(Duration.ofSeconds(1));
        }
        assertThat(fixture.control().view().suspects().isEmpty(), is(true));
        assertThat(fixture.control().commands().isEmpty(), is(true));
    }

    /** Guards against a request whose begun response clears it each time, although it then crashes its target. */
    @Test
    void aRequestThatCrashesTargetsDuringItsResponseIsBlocked() {
        fixture.connector().setAccepting(false);
        for (int number = 1; number <= 3; number++) {
            fixture.complete();
            last().stream();
            last().data("data: one\n\n");
            fixture.time().advance(Duration.ofMillis(500));
            loseConnection();
        }
        assertThat(fixture.complete().stream().text(), containsString("CRASH_SUSPECT"));
    }

    /** Guards against failures that speak for a request although the target shows nothing about it. */
    @Test
    void aServerErrorClearsNothing() {
        fixture.connector().setAccepting(false);
        for (int number = 1; number <= 3; number++) {
            fixture.complete();
            last().send();
            loseConnection();
            fixture.complete();
            last().send();
            last().head(500, "application/json", last().requestId());
            last().end();
        }
        assertThat(fixture.complete().stream().text(), containsString("CRASH_SUSPECT"));
    }

    /** Guards against a refusal that does not say when the caller may come back, and a trial beside others. */
    @Test
    void theRefusalStatesWhenTheTrialIsDueAndOneRequestIsTheTrial() {
        block();
        Started refused = fixture.complete();
        assertThat(refused.stream().text(), containsString("\"retry_after_ms\":1000"));
        pass(Duration.ofSeconds(5));
        int before = fixture.connector().calls().size();
        Started trial = fixture.complete();
        Started beside = fixture.complete();
        assertThat(fixture.connector().calls().size(), is(before + 1));
        assertThat(beside.stream().text(), containsString("CRASH_SUSPECT"));
        last().stream();
        last().data("data: {\"total_tokens\":1}\n\n");
        last().end();
        assertThat(trial.stream().text().contains("CRASH_SUSPECT"), is(false));
        fixture.time().advance(Duration.ofMillis(100));
        fixture.complete();
        assertThat(fixture.connector().calls().size(), is(before + 2));
    }

    /** Guards against a trial that costs all callers of a service their only target soon after the block. */
    @Test
    void theOnlyTargetIsTriedLater() {
        block();
        fixture.services().targets().subList(1, 3).clear();
        pass(Duration.ofSeconds(30));
        int before = fixture.connector().calls().size();
        assertThat(fixture.complete().stream().text(), containsString("CRASH_SUSPECT"));
        pass(Duration.ofMinutes(10));
        fixture.complete();
        assertThat(fixture.connector().calls().size(), is(before + 1));
    }

    /** Guards against a trial that is used up by a target that was not reached. */
    @Test
    void aTrialThatCannotHaveRunIsSentToAnotherTarget() {
        block();
        pass(Duration.ofSeconds(5));
        fixture.complete();
        TargetId first = last().target().id();
        last().fail(TargetConnector.FailureKind.UNREACHABLE, false);
        assertThat(last().target().id().equals(first), is(false));
    }

    /** Guards against requests that are blamed for the end of a target that had announced it. */
    @Test
    void theEndOfALeavingTargetIsNoCrash() {
        SuspectGuard guard = fixture.guard();
        TargetAnnouncement target = fixture.services().targets().get(0);
        fixture.services().targets().set(0, FakeServices.changed(target, 1, true));
        guard.requestLost(target, SUSPECTS, 0, 1);
        assertThat(fixture.control().commands().isEmpty(), is(true));
    }

    /** Guards against a crash that nobody sees because the target is back at once, and a reset that counts as one. */
    @Test
    void aLostConnectionIsACrashOnlyIfTheTargetAnnouncesANewIncarnation() {
        SuspectGuard guard = fixture.guard();
        TargetAnnouncement target = fixture.services().targets().get(0);
        guard.connectionLost(target, SUSPECTS, 0, 1);
        guard.targetAnnounced(target);
        assertThat(fixture.control().commands().isEmpty(), is(true));
        guard.targetAnnounced(FakeServices.changed(target, 2, false));
        assertThat(losses(), is(1L));
    }

    /** Guards against evidence that is lost because the control log has no leader when the target crashes. */
    @Test
    void lossesAreReportedAgainWithTheirAgeUntilTheLogTakesThem() {
        SuspectGuard guard = fixture.guard();
        Consumer<FakeControl.Submission> lose = FakeControl.Submission::lose;
        fixture.control().setDelivery(lose);
        guard.requestLost(
                fixture.services().targets().get(0), SUSPECTS, 0, fixture.time().nanos());
        fixture.time().advance(Duration.ofSeconds(10));
        fixture.control().setDelivery(FakeControl.Submission::applyAndRespond);
        fixture.time().advance(Duration.ofSeconds(1));
        assertThat(losses(), is(1L));
        ReportCrashEvidence report =
                (ReportCrashEvidence) fixture.control().commands().get(0);
        assertThat(report.lost().get(0).ageMillis() >= Duration.ofSeconds(10).toMillis(), is(true));
    }

    /** Guards against a log that a crash of many targets floods. */
    @Test
    void thousandsOfLossesAreReportedInAFewRecords() {
        SuspectGuard guard = fixture.guard();
        List<FakeControl.Submission> reports = new ArrayList<>();
        fixture.control().setDelivery(reports::add);
        for (int number = 0; number < 2000; number++) {
            List<SuspectId> request = List.of(new RequestFingerprintId("request " + number));
            guard.requestLost(
                    fixture.services().targets().get(0),
                    request,
                    0,
                    fixture.time().nanos());
        }
        for (int answered = 0; answered < reports.size(); answered++) {
            reports.get(answered).applyAndRespond();
        }
        assertThat(losses(), is(2000L));
        assertThat(reports.size(), lessThanOrEqualTo(10));
    }

    /** Guards against crashes that nobody counts while an instance of an earlier build holds a replica. */
    @Test
    void recordsOfTheEarlierBuildAreUsedWhileReplicasMayNotKnowTheNewOnes() {
        fixture.control().refuse(ReportCrashEvidence.class);
        SuspectGuard guard = fixture.guard();
        List<TargetAnnouncement> targets = fixture.services().targets();
        guard.requestLost(targets.get(0), SUSPECTS, 0, 1);
        CompletableFuture<List<SuspectId>> second = guard.requestLost(targets.get(1), SUSPECTS, 0, 1);
        assertThat(second.join(), is(SUSPECTS));
        Optional<Block> block = guard.blockOf(SUSPECTS, () -> true);
        assertThat(block.map(Block::suspect), is(Optional.of(SUSPECTS.get(0))));
        Set<Class<?>> kinds = Set.copyOf(fixture.control().commands().stream()
                .map(ControlCommand::getClass)
                .toList());
        assertThat(kinds, is(Set.of(ReportCrash.class)));
    }

    private void block() {
        fixture.connector().setAccepting(false);
        for (int number = 1; number <= 3; number++) {
            fixture.complete();
            last().send();
            fixture.services().allowRetries(0);
            loseConnection();
        }
        fixture.services().allowRetries(100);
    }

    private void loseConnection() {
        last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        pass(Duration.ofSeconds(4));
    }

    private void pass(Duration duration) {
        fixture.control().advanceTime(duration);
        fixture.time().advance(duration);
    }

    private long losses() {
        return fixture.control().commands().stream()
                .filter(ReportCrashEvidence.class::isInstance)
                .mapToLong(command -> ((ReportCrashEvidence) command).lost().size())
                .sum();
    }

    private FakeCall last() {
        return fixture.connector().last();
    }
}
