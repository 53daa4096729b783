package org.basilrill.protocol.instance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import io.opentelemetry.api.OpenTelemetry;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.instance.CoordinatorFixture.Started;
import org.basilrill.protocol.instance.FakeConnector.FakeCall;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.configuration.CallRoute;
import org.basilrill.state.configuration.CallRoute.Kind;
import org.basilrill.state.configuration.CallRoute.Share;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.RouteTable;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.RequestRate;
import org.junit.jupiter.api.Test;

/** Tests the life cycle of routed requests: which are retried, resumed, cut and refused. */
class RoutedRequestTest {
    private static final String HOST = "a.example";
    private static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final CoordinatorFixture fixture =
            new CoordinatorFixture(3, OpenTelemetry.noop().getTracer("test"), Optional.of(new StubDialect()));

    RoutedRequestTest() {
        fixture.control().install(rules(1, true));
    }

    private static CallRoute route(String prefix, Kind kind, int attempts) {
        return new CallRoute(
                prefix,
                HOST,
                prefix,
                kind,
                TIMEOUT,
                TIMEOUT,
                0,
                List.of(new Share("pool", 1)),
                attempts,
                false,
                Set.of());
    }

    private static Rules rules(long revision, boolean keyInForce) {
        return new Rules(
                revision,
                Map.of(FakeServices.ACCOUNT, new Rules.Account(FakeServices.ACCOUNT, 2000, 20_000, 1)),
                keyInForce ? Map.of(KeyHash.of(FakeServices.KEY), FakeServices.ACCOUNT) : Map.of(),
                Map.of(),
                Map.of(),
                Map.of(),
                Map.of("pool", new Rules.Service("pool", 0, List.of())),
                List.of(),
                Rules.StoreLimits.defaults(),
                new RouteTable(List.of(
                        route("/safe/", Kind.SAFE, 2),
                        route("/unsafe/", Kind.UNSAFE, 2),
                        route("/stream/", Kind.RESUMABLE_STREAM, 3),
                        route("/once/", Kind.STREAM, 3))),
                Map.of());
    }

    private Started send(String path) {
        return fixture.start(
                CoordinatorFixture.head("POST", path, "Host", HOST, RequestHead.REQUEST_ID, "r-1"), "body");
    }

    private FakeCall last() {
        return fixture.connector().last();
    }

    private int calls() {
        return fixture.connector().calls().size();
    }

    /** Guards against 404 for a route, or 401 for a key, that is acknowledged but has not reached the instance. */
    @Test
    void anInstanceThatIsNotCurrentDeniesNoRequestByItsRules() {
        fixture.control().setCurrent(false);
        assertThat(send("/added/x").stream().status(), is(503));
        RequestHead withoutKey =
                new RequestHead("POST", "/safe/x", Optional.empty(), List.of(new HeaderField("host", HOST)));
        assertThat(fixture.start(withoutKey, "body").stream().status(), is(503));
        fixture.control().install(rules(2, false));
        assertThat(send("/safe/x").stream().status(), is(503));
    }

    /** Guards against 404 for an added route from an instance that lost the control log after the acknowledgement. */
    @Test
    void anInstanceDeniesNothingOnceAnAcknowledgedChangeMustBeInForce() {
        fixture.control().setConfirmationAge(Duration.ofMillis(1_199));
        assertThat(send("/added/x").stream().status(), is(404));
        fixture.control().setConfirmationAge(Duration.ofMillis(1_200));
        assertThat(send("/added/x").stream().status(), is(503));
    }

    /** Guards against a denial by rules that newer ones replaced while the request was decided. */
    @Test
    void aRequestIsNotDeniedByRulesThatWereReplacedDuringTheDecision() {
        fixture.control().installBeforeNextConfirmation(rules(2, true));
        assertThat(send("/added/x").stream().status(), is(503));
        assertThat(send("/added/x").stream().status(), is(404));
    }

    @Test
    void aCurrentInstanceDeniesRequestsForUnknownRoutes() {
        assertThat(send("/added/x").stream().status(), is(404));
    }

    /** Guards against a failure while the only engine with the model loads an adapter and refuses its requests. */
    @Test
    void aRequestForALoadingAdapterIsRetriedBeyondItsAttemptLimit() {
        Started started = fixture.start(
                CoordinatorFixture.head(
                        "POST", "/safe/x", "Host", HOST, RequestHead.REQUEST_ID, "r-1", "X-Model", "m/a1"),
                "body");
        for (int refusal = 0; refusal < 4; refusal++) {
            last().refuseWithoutRunning(StubDialect.RAN_NOTHING);
        }
        assertThat(calls(), is(5));
        last().stream();
        last().data("data: a\n\n");
        last().end();
        assertThat(started.stream().status(), is(200));
    }

    /** Guards against retries that load an overloaded target with refusals. */
    @Test
    void aRequestForAModelIsNotRetriedBeyondItsAttemptLimit() {
        fixture.start(
                CoordinatorFixture.head("POST", "/safe/x", "Host", HOST, RequestHead.REQUEST_ID, "r-1", "X-Model", "m"),
                "body");
        for (int refusal = 0; refusal < 2; refusal++) {
            last().refuseWithoutRunning(StubDialect.RAN_NOTHING);
        }
        assertThat(calls(), is(2));
    }

    @Test
    void aCutStreamResumesAtAnotherTargetAfterItsLastCompleteEvent() {
        Started started = send("/stream/x");
        last().stream();
        last().data("id: 1\ndata: a\n\nid: 2\nda");
        last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        assertThat(calls(), is(2));
        assertThat(HeaderField.first(last().request().headers(), StubDialect.LAST_EVENT), is(Optional.of("1")));
        last().stream();
        last().data("id: 2\ndata: b\n\n");
        last().end();
        assertThat(started.stream().text(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        assertThat(started.stream().complete(), is(true));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    /** Guards against a stream that goes on with what a target sent under an invalid head. */
    @Test
    void aCutStreamIsNotContinuedWithAnInvalidResponse() {
        Started started = send("/stream/x");
        last().stream();
        last().data("id: 1\ndata: a\n\n");
        last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        last().fail(TargetConnector.FailureKind.INVALID_ANSWER, false);
        assertThat(calls(), is(3));
        last().stream();
        last().data("id: 2\ndata: b\n\n");
        last().end();
        assertThat(started.stream().text(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        assertThat(started.stream().complete(), is(true));
    }

    @Test
    void aCutStreamThatIsNotResumableIsAborted() {
        Started started = send("/once/x");
        last().stream();
        last().data("id: 1\ndata: a\n\n");
        last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        assertThat(calls(), is(1));
        assertThat(started.stream().aborted(), is(true));
        assertThat(started.stream().complete(), is(false));
    }

    @Test
    void anUnsafeRequestIsNotRepeatedOnceItMayHaveRun() {
        Started started = send("/unsafe/x");
        last().send();
        last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        assertThat(calls(), is(1));
        assertThat(started.stream().status(), is(502));
    }

    /** Guards against giving up a request that may not be sent again, whose target may still respond. */
    @Test
    void onlyARequestThatMayBeSentAgainIsGivenUpWhenItsPathIsLost() {
        send("/safe/x");
        assertThat(last().abandonsLostPath(), is(true));
        send("/unsafe/x");
        assertThat(last().abandonsLostPath(), is(false));
    }

    @Test
    void aMisdirectedRequestIsSentToAnotherTarget() {
        Started started = send("/unsafe/x");
        FakeCall first = last();
        first.send();
        first.head(421, "application/json", "r-1");
        assertThat(calls(), is(2));
        assertThat(last().target().id().equals(first.target().id()), is(false));
        last().send();
        last().head(200, "application/json", "r-1");
        last().data("{}");
        last().end();
        assertThat(started.stream().status(), is(200));
    }

    /** Guards against a success that reaches the caller without the signature of a target. */
    @Test
    void anUnsignedSuccessIsAFailedAttempt() {
        Started safe = send("/safe/x");
        last().send();
        last().head(200, StubDialect.UNSIGNED, "r-1");
        assertThat(calls(), is(2));
        last().send();
        last().head(200, "application/json", "r-1");
        last().end();
        assertThat(safe.stream().status(), is(200));
        Started unsafe = send("/unsafe/x");
        last().send();
        last().head(200, StubDialect.UNSIGNED, "r-1");
        assertThat(unsafe.stream().status(), is(502));
    }

    @Test
    void aSafeRequestIsRetriedOnceAfterAServerError() {
        Started started = send("/safe/x");
        last().send();
        last().head(500, "application/json", "r-1");
        assertThat(calls(), is(2));
        last().send();
        last().head(500, "application/json", "r-1");
        last().end();
        assertThat(calls(), is(2));
        assertThat(started.stream().status(), is(500));
    }

    /** Guards against replacing the error response of a target when no other target is known. */
    @Test
    void theServerErrorOfTheOnlyTargetIsForwarded() {
        CoordinatorFixture single =
                new CoordinatorFixture(1, OpenTelemetry.noop().getTracer("test"), Optional.of(new StubDialect()));
        single.control().install(rules(1, true));
        Started started = single.start(
                CoordinatorFixture.head("POST", "/safe/x", "Host", HOST, RequestHead.REQUEST_ID, "r-1"), "body");
        single.connector().last().send();
        single.connector().last().head(500, "application/json", "r-1");
        single.connector().last().end();
        assertThat(single.connector().calls().size(), is(1));
        assertThat(started.stream().status(), is(500));
        assertThat(single.allResourcesReleased(), is(true));
    }

    /** Guards against excluding the only target with a model after it lost a response; it can resume the stream. */
    @Test
    void aCutStreamResumesAtTheOnlyTargetWithItsModel() {
        CoordinatorFixture single =
                new CoordinatorFixture(1, OpenTelemetry.noop().getTracer("test"), Optional.of(new StubDialect()));
        single.control().install(rules(1, true));
        Started started = single.start(
                CoordinatorFixture.head("POST", "/stream/x", "Host", HOST, RequestHead.REQUEST_ID, "r-1"), "body");
        single.connector().last().stream();
        single.connector().last().data("id: 1\ndata: a\n\n");
        single.connector().last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
        assertThat(single.connector().calls().size(), is(2));
        single.connector().last().stream();
        single.connector().last().data("id: 2\ndata: b\n\n");
        single.connector().last().end();
        assertThat(started.stream().text(), is("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"));
        assertThat(started.stream().complete(), is(true));
        assertThat(single.allResourcesReleased(), is(true));
    }

    /** Guards against requests that stay queued although their callers disconnect long before the deadline. */
    @Test
    void callersOfAStreamAreExpectedToWaitForFourTimesTheLatencyTarget() {
        assertThat(callerTimeout(Kind.STREAM, Duration.ofMillis(600)), is(Optional.of(Duration.ofMillis(2400))));
        assertThat(callerTimeout(Kind.STREAM, Duration.ofMillis(100)), is(Optional.of(Duration.ofSeconds(2))));
        assertThat(callerTimeout(Kind.SAFE, Duration.ofMillis(100)), is(Optional.empty()));
    }

    private static Optional<Duration> callerTimeout(Kind kind, Duration latencyTarget) {
        CallRoute route = new CallRoute(
                "route",
                HOST,
                "/p/",
                kind,
                TIMEOUT,
                latencyTarget,
                0,
                List.of(new Share("pool", 1)),
                1,
                false,
                Set.of());
        return AttemptPolicy.ofRoute(route).callerTimeout();
    }

    @Test
    void aResponseThatIsIncompleteAtTheTimeoutIsAborted() {
        Started started = send("/stream/x");
        last().stream();
        last().data("id: 1\ndata: a\n\n");
        fixture.time().advance(TIMEOUT);
        assertThat(started.stream().aborted(), is(true));
        assertThat(last().cancelled(), is(true));
        assertThat(fixture.allResourcesReleased(), is(true));
    }

    @Test
    void aRequestAtATargetContinuesWhenItsKeyIsWithdrawn() {
        Started started = send("/stream/x");
        last().stream();
        last().data("id: 1\ndata: a\n\n");
        fixture.control().install(rules(2, false));
        last().data("id: 2\ndata: b\n\n");
        last().end();
        assertThat(started.stream().complete(), is(true));
        assertThat(send("/stream/x").stream().status(), is(401));
    }

    @Test
    void aResetConnectionIsNotCountedAsACrash() {
        for (int round = 0; round < 5; round++) {
            send("/safe/x");
            last().send();
            last().fail(TargetConnector.FailureKind.CONNECTION_LOST, false);
            last().send();
            last().head(200, "application/json", "r-1");
            last().end();
        }
        assertThat(send("/safe/x").stream().head() != null, is(false));
        assertThat(fixture.services().publishedFingerprints().isEmpty(), is(true));
    }

    @Test
    void anUnknownPathIsNotFoundOnlyOnceRulesAreKnown() {
        assertThat(send("/elsewhere/x").stream().status(), is(404));
        fixture.control().install(Rules.empty());
        assertThat(send("/elsewhere/x").stream().status(), is(503));
    }

    @Test
    void aResponseWithoutABodyIsForwarded() {
        Started started = send("/unsafe/x");
        last().send();
        last().head(204, "application/json", "r-1");
        last().end();
        assertThat(started.stream().status(), is(204));
    }

    /** Guards against a limit that is missed because the response that states it refuses or fails the request. */
    @Test
    void aRefusalAndAFailureStateTheRequestRateToo() {
        send("/safe/x");
        last().stateRate(503, "2");
        fixture.services().allowRetries(0);
        send("/once/x");
        last().stateRate(500, "3");
        assertThat(fixture.services().statedRates(), is(List.of(new RequestRate(2), new RequestRate(3))));
    }
}
