package org.basilrill.protocol.instance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.endsWith;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Outcome;
import org.basilrill.coordination.admission.Dispatcher.AttemptResult;
import org.basilrill.protocol.caller.RequestFingerprint;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.instance.CoordinatorFixture.Started;
import org.basilrill.protocol.target.TargetConnector;
import org.junit.jupiter.api.Test;

/** Tests the life cycle of requests with in-memory dependencies. */
class RequestCoordinatorTest {
    private final CoordinatorFixture fixture = new CoordinatorFixture(3);

    private FakeConnector.FakeCall call() {
        return fixture.connector().last();
    }

    private void checkRefusal(Started started, ErrorCode code, String outcome) {
        assertThat(started.stream().status(), is(code.httpStatus()));
        assertThat(started.stream().text(), started.stream().failedWith(code.name()), is(true));
        assertThat(started.stream().text(), started.stream().reportsOutcome(outcome), is(true));
        assertThat(started.stream().terminations(), is(1));
    }

    /** Guards against requests that run without a client account. */
    @Test
    void aRequestWithoutAKnownKeyIsRefused() {
        RequestHead without = new RequestHead("POST", "/v1/completions", Optional.empty(), List.of());
        checkRefusal(fixture.start(without, CoordinatorFixture.COMPLETION), ErrorCode.KEY_MISSING, "not_run");
        fixture.control().install(FakeServices.rules(2, false));
        checkRefusal(fixture.complete(), ErrorCode.KEY_UNKNOWN, "not_run");
        assertThat(fixture.connector().calls().isEmpty(), is(true));
    }

    /** Guards against requests run by outdated rules, and against a wrong 401 for a key not received yet. */
    @Test
    void anInstanceThatIsNotCurrentRefusesAndListsOtherInstances() {
        fixture.control().setCurrent(false);
        Started known = fixture.complete();
        checkRefusal(known, ErrorCode.INSTANCE_NOT_CURRENT, "not_run");
        assertThat(known.stream().text(), containsString("\"instances\":[\"127.0.0.1:4001\"]"));
        fixture.control().install(FakeServices.rules(2, false));
        checkRefusal(fixture.complete(), ErrorCode.INSTANCE_NOT_CURRENT, "not_run");
    }

    /** Guards against a request that crashes a third target after the control log has blocked it. */
    @Test
    void aSuspectRequestIsRefusedBeforeItRuns() {
        byte[] body = CoordinatorFixture.COMPLETION.getBytes(StandardCharsets.UTF_8);
        fixture.control().block(RequestFingerprint.ofContent(Optional.of(FakeServices.ACCOUNT), body));
        checkRefusal(fixture.complete(), ErrorCode.CRASH_SUSPECT, "not_run");
    }

    /** Guards against one request that crashes target after target through retries. */
    @Test
    void aRequestThatLosesTwoTargetsIsNotSentToAThird() {
        Started started = fixture.complete();
        for (int lost = 0; lost < 2; lost++) {
            call().send();
            call().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        }
        checkRefusal(started, ErrorCode.CRASH_SUSPECT, "may_have_run");
        assertThat(fixture.connector().calls().size(), is(2));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against a crash on a reused connection that is treated as the close of an idle connection. */
    @Test
    void aLostReusedConnectionCountsAsACrashIfTheTargetAcceptsNoNewOne() {
        fixture.connector().setAccepting(false);
        Started started = fixture.complete();
        for (int lost = 0; lost < 2; lost++) {
            call().send();
            call().fail(TargetConnector.FailureKind.CONNECTION_LOST, true);
        }
        checkRefusal(started, ErrorCode.CRASH_SUSPECT, "may_have_run");
        assertThat(fixture.connector().calls().size(), is(2));
    }

    /** Guards against counting the close of an idle connection as a crash of the target. */
    @Test
    void aClosedReusedConnectionIsNotCountedAsACrash() {
        fixture.complete();
        call().send();
        call().fail(TargetConnector.FailureKind.CONNECTION_LOST, true);
        assertThat(fixture.control().commands().isEmpty(), is(true));
        assertThat(call().freshConnection(), is(true));
        call().stream();
        call().end();
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against retries that multiply the load on failing targets. */
    @Test
    void noRetryIsSentWithoutRetryBudget() {
        fixture.services().allowRetries(0);
        Started started = fixture.complete();
        call().fail(TargetConnector.FailureKind.UNREACHABLE, false);
        checkRefusal(started, ErrorCode.TARGET_UNREACHABLE, "not_run");
    }

    /** Guards against a lost outcome: the last attempt was not sent, but an earlier one may have run the request. */
    @Test
    void aRequestThatMayHaveRunNeverReportsNotRun() {
        fixture.services().targets().remove(2);
        Started started = fixture.complete();
        call().send();
        call().fail(TargetConnector.FailureKind.CONNECTION_LOST, true);
        call().fail(TargetConnector.FailureKind.UNREACHABLE, false);
        assertThat(started.stream().reportsOutcome("may_have_run"), is(true));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against a cut response that appears complete. */
    @Test
    void aStreamCutAfterItsFirstTokenEndsWithAnErrorEvent() {
        Started started = fixture.complete();
        call().stream();
        call().data("data: one\n\ndata: tw");
        call().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        assertThat(started.stream().text(), containsString("\n\nevent: error\ndata: {\"error\""));
        assertThat(started.stream().failedWith("STREAM_CUT"), is(true));
        assertThat(started.stream().terminations(), is(1));
        assertThat(fixture.connector().calls().size(), is(1));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against forwarding the response of another request to the caller. */
    @Test
    void aResponseWithAnotherRequestIdIsNotForwarded() {
        Started started = fixture.complete();
        call().send();
        call().head(200, "text/event-stream", "another");
        assertThat(fixture.connector().calls().get(0).cancelled(), is(true));
        assertThat(started.stream().terminations(), is(0));
        call().stream();
        call().data("data: mine\n\n");
        call().end();
        assertThat(started.stream().text(), is("data: mine\n\n"));
    }

    /** Guards against rejecting engines that echo no IDs, and against accepting a missing ID from those that do. */
    @Test
    void aMissingRequestIdIsAcceptedOnlyFromATargetThatNeverSentOne() {
        Started first = fixture.complete();
        respondWithoutId();
        assertThat(first.stream().text(), is("data: mine\n\n"));
        fixture.complete();
        call().stream();
        call().end();
        Started third = fixture.complete();
        int calls = fixture.connector().calls().size();
        call().send();
        call().head(200, ResponseHead.EVENT_STREAM, "");
        assertThat(fixture.connector().calls().get(calls - 1).cancelled(), is(true));
        assertThat(third.stream().terminations(), is(0));
    }

    private void respondWithoutId() {
        call().send();
        call().head(200, ResponseHead.EVENT_STREAM, "");
        call().data("data: mine\n\n");
        call().end();
    }

    /** Guards against requests that continue at a target after their caller disconnected. */
    @Test
    void aDisconnectedCallerCancelsItsRequest() {
        Started started = fixture.complete();
        call().stream();
        call().data("data: one\n\n");
        started.running().callerDisconnected();
        assertThat(call().cancelled(), is(true));
        assertThat(fixture.services().results(), is(List.of(AttemptResult.CANCELLED)));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against streams that continue after their key was withdrawn. */
    @Test
    void aWithdrawnKeyEndsItsStreams() {
        Started started = fixture.complete();
        call().stream();
        call().data("data: one\n\n");
        fixture.control().install(FakeServices.rules(2, false));
        assertThat(started.stream().failedWith("KEY_WITHDRAWN"), is(true));
        assertThat(call().cancelled(), is(true));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against a request that never ends, and against not_run although bytes may have been sent. */
    @Test
    void aPassedDeadlineReportsNotRunOnlyIfThePermitWasRevoked() {
        Started waiting = fixture.complete("X-Request-Timeout-Ms", "500");
        FakeConnector.FakeCall connecting = call();
        fixture.time().advance(Duration.ofMillis(500));
        checkRefusal(waiting, ErrorCode.DEADLINE_EXCEEDED, "not_run");
        connecting.send();
        assertThat(connecting.sent(), is(false));
        Started sent = fixture.complete("X-Request-Timeout-Ms", "500");
        call().send();
        fixture.time().advance(Duration.ofMillis(500));
        checkRefusal(sent, ErrorCode.DEADLINE_EXCEEDED, "may_have_run");
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against an unresponsive target that blocks its caller indefinitely. */
    @Test
    void anUnresponsiveTargetTimesOutAfterTheProgressDeadline() {
        Started started = fixture.complete();
        call().stream();
        call().data("data: one\n\n");
        started.running().bytesWritten(11);
        fixture.time().advance(Duration.ofSeconds(10));
        assertThat(started.stream().failedWith("STREAM_CUT"), is(true));
        assertThat(fixture.services().results(), is(List.of(AttemptResult.TIMED_OUT)));
    }

    /** Guards against a target that is ejected because a caller does not read. */
    @Test
    void aCallerThatDoesNotReadIsNotCountedAsATargetFailure() {
        Started started = fixture.complete();
        call().stream();
        call().data("x".repeat(CoordinatorFixture.WINDOW_BYTES));
        fixture.time().advance(Duration.ofSeconds(10));
        assertThat(started.stream().aborted(), is(true));
        assertThat(fixture.services().results(), is(List.of(AttemptResult.CANCELLED)));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against an order that is sent before its claim is committed. */
    @Test
    void anOrderIsSentOnlyAfterItsClaimIsGranted() {
        List<FakeControl.Submission> submissions = new ArrayList<>();
        fixture.control().setDelivery(submissions::add);
        fixture.order("k1");
        assertThat(fixture.connector().calls().isEmpty(), is(true));
        submissions.get(0).applyAndRespond();
        assertThat(fixture.connector().calls().size(), is(1));
        assertThat(call().freshConnection(), is(true));
    }

    /** Guards against a queued request with a withdrawn key that runs at an instance without the control log. */
    @Test
    void aQueuedRequestIsNotSentOnceTheRulesCannotBeConfirmed() {
        List<FakeControl.Submission> submissions = new ArrayList<>();
        fixture.control().setDelivery(submissions::add);
        Started order = fixture.order("k1");
        fixture.control().setCurrent(false);
        submissions.get(0).applyAndRespond();
        checkRefusal(order, ErrorCode.INSTANCE_NOT_CURRENT, "not_run");
        assertThat(fixture.connector().calls().isEmpty(), is(true));
        submissions.get(1).applyAndRespond();
        assertThat(fixture.control().outcomeOf("k1"), is(Optional.of(Outcome.NOT_RUN)));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against a second run of an order, and against a replay that differs from the first response. */
    @Test
    void aFinishedOrderReplaysItsResponse() {
        fixture.order("k1");
        call().send();
        call().head(201, "application/json", call().requestId());
        call().data("{\"order\":9}");
        call().end();
        Started again = fixture.order("k1");
        assertThat(again.stream().status(), is(201));
        assertThat(again.stream().text(), is("{\"order\":9}"));
        assertThat(fixture.connector().calls().size(), is(1));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against a retry of an order that may have been sent. */
    @Test
    void anOrderThatMayHaveRunIsNotRetried() {
        Started started = fixture.order("k1");
        call().send();
        call().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        checkRefusal(started, ErrorCode.TARGET_FAILED, "may_have_run");
        checkRefusal(fixture.order("k1"), ErrorCode.ORDER_OUTCOME_UNKNOWN, "may_have_run");
        assertThat(fixture.connector().calls().size(), is(1));
    }

    /** Guards against losing the outcome of an order whose caller disconnected. */
    @Test
    void anOrderContinuesAfterItsCallerDisconnectsAndIsRecorded() {
        Started started = fixture.order("k1");
        call().send();
        started.running().callerDisconnected();
        assertThat(call().cancelled(), is(false));
        checkRefusal(fixture.order("k1"), ErrorCode.ORDER_RUNNING, "may_have_run");
        call().head(200, "application/json", call().requestId());
        call().data("{}");
        call().end();
        assertThat(fixture.control().outcomeOf("k1"), is(Optional.of(Outcome.RAN)));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against a claim that blocks an order which has not run. */
    @Test
    void anOrderThatWasRefusedAfterItsClaimCanBeSentAgain() {
        fixture.services().failAdmission(ErrorCode.RATE_EXCEEDED);
        checkRefusal(fixture.order("k1"), ErrorCode.RATE_EXCEEDED, "not_run");
        assertThat(fixture.control().outcomeOf("k1"), is(Optional.of(Outcome.NOT_RUN)));
        fixture.services().failAdmission(null);
        fixture.order("k1");
        assertThat(fixture.connector().calls().size(), is(1));
    }

    /** Guards against a failed order, or a second claim, after a target that received nothing. */
    @Test
    void anOrderWhoseConnectionWasRefusedGoesToAnotherTargetUnderTheSameClaim() {
        fixture.order("k1");
        call().fail(TargetConnector.FailureKind.UNREACHABLE, false);
        assertThat(fixture.connector().calls().size(), is(2));
        assertThat(fixture.control().commands().size(), is(1));
    }

    /** Guards against failing an order because of a full target, which ran nothing, and against ejecting the target. */
    @Test
    void anOrderRefusedByAFullTargetRunsAtAnotherUnderTheSameClaim() {
        Started started = fixture.order("k1");
        call().send();
        call().refuseAsFull();
        assertThat(fixture.connector().calls().size(), is(2));
        call().send();
        call().head(201, "application/json", call().requestId());
        call().end();
        assertThat(started.stream().status(), is(201));
        assertThat(fixture.control().outcomeOf("k1"), is(Optional.of(Outcome.RAN)));
        assertThat(fixture.services().results(), is(List.of(AttemptResult.REFUSED_FULL, AttemptResult.SUCCEEDED)));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against may_have_run, and a missing retry delay, if all targets were full. */
    @Test
    void aRequestRefusedOnlyByFullTargetsReportsNotRun() {
        fixture.services().allowRetries(0);
        Started started = fixture.complete();
        call().send();
        call().refuseAsFull();
        checkRefusal(started, ErrorCode.TARGET_FULL, "not_run");
        assertThat(started.stream().text(), containsString("retry_after_ms"));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against a charge that differs from the tokens used. */
    @Test
    void aCompletionIsChargedForItsReportedTokens() {
        fixture.complete();
        call().stream();
        call().data("data: a\n\nda");
        call().data("ta: b\n\ndata: {\"usage\":{\"total_tokens\"");
        call().data(": 17}}\n\n");
        call().end();
        assertThat(fixture.services().tokensUsed(), is(17L));
    }

    /** Guards against a drain that cuts requests or never completes. */
    @Test
    void aDrainRefusesNewRequestsAndWaitsForRunningOnes() {
        Started started = fixture.complete();
        call().stream();
        var idle = fixture.coordinator().drain();
        checkRefusal(fixture.complete(), ErrorCode.INSTANCE_DRAINING, "not_run");
        assertThat(idle.isDone(), is(false));
        call().data("data: [DONE]\n\n");
        call().end();
        assertThat(idle.isDone(), is(true));
        assertThat(started.stream().text(), endsWith("[DONE]\n\n"));
    }
}
