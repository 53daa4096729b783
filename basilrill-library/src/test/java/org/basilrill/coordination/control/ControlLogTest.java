package org.basilrill.coordination.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.Outcome;
import org.basilrill.state.configuration.RulesSource;
import org.basilrill.state.control.ControlCommand.ClaimOrder;
import org.basilrill.state.control.ControlCommand.FinishOrder;
import org.basilrill.state.control.ControlCommand.RegisterSession;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlResult.OrderFinished;
import org.basilrill.state.control.ControlResult.OrderGranted;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.state.control.ControlResult.RulesAccepted;
import org.basilrill.state.control.ControlResult.RulesConflict;
import org.junit.jupiter.api.Test;

/** Tests the access of instances to the control log while replicas lead, follow, are isolated or are replaced. */
class ControlLogTest {
    private static final InstanceId ENTRY = new InstanceId("entry");
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final Duration SECOND = Duration.ofSeconds(1);

    private final FakeCluster cluster = new FakeCluster(3, 4301);
    private final ControlLogClient client = cluster.client(ENTRY);

    @Test
    void anInstanceBecomesCurrentAndHoldsASession() {
        assertThat(client.isCurrent(), is(false));
        start(client);
        assertThat(client.isCurrent(), is(true));
        assertThat(client.holdsSession(), is(true));
        assertThat(client.view().sessions().get(ENTRY), is(client.sessionId()));
    }

    @Test
    void anAcceptedConfigurationIsInForceEverywhereWithinASecond() {
        List<ControlLogClient> clients = new ArrayList<>(List.of(client));
        for (int number = 0; number < 9; number++) {
            clients.add(cluster.client(new InstanceId("entry" + number)));
        }
        clients.forEach(ControlLogTest::begin);
        cluster.time().advance(SECOND);
        assertThat(result(replace(client, 0, "a", "ana")), is(new RulesAccepted(1)));
        cluster.time().advance(SECOND);
        for (ControlLogClient each : clients) {
            assertThat(each.view().rules().accounts().containsKey(new AccountId("a")), is(true));
        }
    }

    @Test
    void oneOfTwoConcurrentRulesChangesIsAcceptedAndResendingIsSafe() {
        ControlLogClient other = cluster.client(new InstanceId("other"));
        start(client);
        start(other);
        CompletableFuture<ControlResult> first = replace(client, 0, "a", "ana");
        CompletableFuture<ControlResult> second = replace(other, 0, "b", "luis");
        List<ControlResult> results = List.of(result(first), result(second));
        String winner = results.get(0) instanceof RulesAccepted ? "ana" : "luis";
        ControlLogClient winningClient = winner.equals("ana") ? client : other;
        ControlLogClient losingClient = winner.equals("ana") ? other : client;
        String text = winner.equals("ana") ? "a" : "b";
        assertThat(results.contains(new RulesConflict(1, winner)), is(true));
        assertThat(result(replace(winningClient, 0, text, winner)), is(new RulesAccepted(1)));
        assertThat(result(replace(losingClient, 0, "c", "loser")), is(new RulesConflict(1, winner)));
    }

    @Test
    void aReplicaUsesTheSameClientAlsoWhenItLeads() {
        ControlLogClient onLeader = cluster.client(cluster.replicas().get(0));
        ControlLogClient onFollower = cluster.client(cluster.replicas().get(1));
        start(onLeader);
        start(onFollower);
        assertThat(onLeader.holdsSession(), is(true));
        assertThat(result(replace(onFollower, 0, "a", "ana")), is(new RulesAccepted(1)));
    }

    @Test
    void anInstanceCutOffStopsBeingCurrentAfterThreeSecondsAndResumesByItself() {
        start(client);
        long session = client.sessionId();
        cluster.isolate(ENTRY);
        cluster.time().advance(Duration.ofMillis(2_400));
        assertThat(client.isCurrent(), is(true));
        cluster.time().advance(Duration.ofMillis(700));
        assertThat(client.isCurrent(), is(false));
        assertThat(client.holdsSession(), is(false));
        cluster.time().advance(DEADLINE);
        assertThat(leaderSessions().containsKey(ENTRY), is(false));
        cluster.reconnect(ENTRY);
        cluster.time().advance(Duration.ofSeconds(2));
        assertThat(client.isCurrent(), is(true));
        assertThat(client.holdsSession(), is(true));
        assertThat(client.sessionId(), is(not(session)));
    }

    /** Guards against requests run with a withdrawn key by an instance whose machine was suspended in the meantime. */
    @Test
    void anInstanceIsNotCurrentAfterASuspensionUntilItsNextConfirmation() {
        start(client);
        cluster.moveWallClock(Duration.ofSeconds(6));
        assertThat(client.isCurrent(), is(false));
        assertThat(client.holdsSession(), is(false));
        cluster.time().advance(Duration.ofMillis(200));
        assertThat(client.isCurrent(), is(true));
        assertThat(client.holdsSession(), is(true));
    }

    @Test
    void anInstanceIsNotCurrentAfterItsWallClockWasSetBackUntilItsNextConfirmation() {
        start(client);
        cluster.moveWallClock(Duration.ofSeconds(-2));
        assertThat(client.isCurrent(), is(false));
        cluster.time().advance(Duration.ofMillis(200));
        assertThat(client.isCurrent(), is(true));
    }

    /** Guards against pulls that evict each other, sent at each request after a step of the clock. */
    @Test
    void anInstanceWithSlowConnectionsIsCurrentAgainAfterASuspension() {
        start(client);
        cluster.delayMessages(Duration.ofMillis(200));
        cluster.time().advance(SECOND);
        cluster.moveWallClock(Duration.ofSeconds(6));
        for (int query = 0; query < 1_500; query++) {
            client.isCurrent();
            cluster.time().advance(Duration.ofMillis(1));
        }
        assertThat(client.isCurrent(), is(true));
    }

    @Test
    void aSmallAdjustmentOfTheWallClockLeavesAnInstanceCurrent() {
        start(client);
        cluster.moveWallClock(Duration.ofMillis(400));
        assertThat(client.isCurrent(), is(true));
    }

    @Test
    void aSessionIsExpiredOnlyAfterFiveSecondsAndItsClaimsBecomeUnknown() {
        ControlLogClient other = cluster.client(new InstanceId("other"));
        start(client);
        start(other);
        assertThat(result(claim(client, ENTRY, "first")), is(new OrderGranted()));
        cluster.isolate(ENTRY);
        cluster.time().advance(Duration.ofMillis(4_400));
        assertThat(leaderSessions().containsKey(ENTRY), is(true));
        cluster.time().advance(Duration.ofMillis(1_200));
        assertThat(leaderSessions().containsKey(ENTRY), is(false));
        OrderFinished unknown = (OrderFinished) result(claim(other, new InstanceId("other"), "second"));
        assertThat(unknown.outcome(), is(Outcome.MAY_HAVE_RUN));
    }

    /** Guards against operators that read a revision which another operator has already replaced. */
    @Test
    void aRulesReadReturnsAcceptedRulesAndFailsWithoutConfirmation() {
        ControlLogClient other = cluster.client(new InstanceId("other"));
        start(client);
        start(other);
        assertThat(result(replace(client, 0, "a", "ana")), is(new RulesAccepted(1)));
        CompletableFuture<RulesSource> read = other.readRules(DEADLINE);
        cluster.time().advance(SECOND);
        assertThat(read.join().revision(), is(1L));
        cluster.isolate(ENTRY);
        CompletableFuture<RulesSource> unconfirmed = client.readRules(DEADLINE);
        cluster.time().advance(DEADLINE);
        assertThat(unconfirmed.isCompletedExceptionally(), is(true));
    }

    /** Guards against buckets and claims that wait 5 s for the session timeout after a planned stop of an instance. */
    @Test
    void aReleasedSessionEndsAtOnceAndNoOtherIsOpened() {
        start(client);
        CompletableFuture<Void> released = client.releaseSession();
        assertThat(client.holdsSession(), is(false));
        cluster.time().advance(Duration.ofMillis(100));
        assertThat(released.isDone(), is(true));
        assertThat(leaderSessions().containsKey(ENTRY), is(false));
        cluster.time().advance(DEADLINE);
        assertThat(leaderSessions().containsKey(ENTRY), is(false));
    }

    /**
     * Guards against two processes with one name that are active at the same time because the first still has a valid
     * lease.
     */
    @Test
    void aSecondProcessOfANameIsRefusedUntilTheLeaseOfTheFirstHasEnded() {
        ControlLogClient other = cluster.client(new InstanceId("other"));
        start(client);
        start(other);
        RegisterSession second = new RegisterSession(ENTRY, 1);
        assertThat(((Refused) result(other.submit(second, DEADLINE))).code(), is(ErrorCode.INSTANCE_NAME_IN_USE));
        cluster.isolate(ENTRY);
        while (client.holdsSession()) {
            ControlResult refusal = result(other.submit(second, DEADLINE));
            assertThat(((Refused) refusal).code(), is(ErrorCode.INSTANCE_NAME_IN_USE));
            cluster.time().advance(Duration.ofMillis(50));
        }
        // The leader may have received the last pull while its response to the first process was lost.
        cluster.time().advance(SECOND);
        assertThat(result(other.submit(second, DEADLINE)), is(new ControlResult.Done()));
        cluster.reconnect(ENTRY);
        cluster.time().advance(Duration.ofSeconds(2));
        assertThat("the registration of the first process is now refused", client.holdsSession(), is(false));
        assertThat(leaderSessions().get(ENTRY), is(1L));
    }

    @Test
    void anIsolatedLeaderConfirmsNothing() {
        start(client);
        InstanceId old = cluster.replicas().get(0);
        ControlLogClient colocated = cluster.client(old);
        start(colocated);
        cluster.isolate(old);
        cluster.elect(cluster.replicas().get(1));
        cluster.time().advance(Duration.ofSeconds(4));
        assertThat("the instance of the isolated leader is not current", colocated.isCurrent(), is(false));
        assertThat(client.isCurrent(), is(true));
        assertThat(client.holdsSession(), is(true));
    }

    @Test
    void aNewLeaderDoesNotExpireSessionsThatItsPredecessorSaw() {
        start(client);
        long session = client.sessionId();
        for (int change = 1; change <= 6; change++) {
            cluster.depose();
            cluster.time().advance(Duration.ofMillis(800));
            cluster.elect(cluster.replicas().get(change % 3));
            cluster.time().advance(Duration.ofMillis(1_500));
        }
        assertThat(client.sessionId(), is(session));
        assertThat(client.holdsSession(), is(true));
    }

    /** Guards against permits that are requested from a lost leader until the next command of the instance. */
    @Test
    void aNewLeaderIsKnownFromPullsWithoutACommand() {
        start(client);
        cluster.elect(cluster.replicas().get(1));
        cluster.time().advance(SECOND);
        assertThat(client.leader(), is(Optional.of(cluster.replicas().get(1))));
    }

    @Test
    void aCommandIsRetriedUntilALeaderIsElected() {
        start(client);
        cluster.depose();
        CompletableFuture<ControlResult> result = replace(client, 0, "a", "ana");
        cluster.time().advance(SECOND);
        assertThat(result.isDone(), is(false));
        cluster.elect(cluster.replicas().get(2));
        cluster.time().advance(Duration.ofMillis(500));
        assertThat(result.join(), is(new RulesAccepted(1)));
    }

    @Test
    void aCommandIsRetriedAtAnotherReplicaIfTheLeaderIsLost() {
        start(client);
        assertThat(result(replace(client, 0, "a", "ana")), is(new RulesAccepted(1)));
        cluster.isolate(cluster.replicas().get(0));
        cluster.elect(cluster.replicas().get(1));
        assertThat(result(replace(client, 1, "b", "ana")), is(new RulesAccepted(2)));
    }

    @Test
    void aRedirectToANewLeaderIsFollowedWithoutAPause() {
        start(client);
        cluster.elect(cluster.replicas().get(2));
        CompletableFuture<ControlResult> result = replace(client, 0, "a", "ana");
        cluster.time().advance(CommandSubmitter.RETRY_PAUSE.dividedBy(2));
        assertThat(result.isDone(), is(true));
    }

    @Test
    void aSubmitterWithAWrongClockDoesNotMakeTheLogForgetFinishedOrders() {
        start(client);
        result(claim(client, ENTRY, "first"));
        result(client.submit(
                new FinishOrder(new AccountId("a"), "key", "first", Outcome.RAN, Optional.empty()), DEADLINE));
        long farFuture = Duration.ofDays(1_000).toMillis();
        result(client.submit(
                new ClaimOrder(new AccountId("a"), "other", "fingerprint", "x", ENTRY, client.sessionId(), farFuture),
                DEADLINE));
        assertThat(result(claim(client, ENTRY, "second")), is(new OrderFinished(Outcome.RAN, Optional.empty())));
    }

    @Test
    void agesCountFromWhenThePullWasSentAndNotFromItsResponse() {
        start(client);
        cluster.delayMessages(Duration.ofMillis(1_600));
        cluster.time().advance(Duration.ofSeconds(10));
        assertThat(client.isCurrent(), is(false));
        assertThat(client.holdsSession(), is(false));
    }

    @Test
    void aCommandWithoutAResponseFailsAtItsDeadlineAndMayHaveRun() {
        start(client);
        cluster.replicas().forEach(cluster::isolate);
        CompletableFuture<ControlResult> result = replace(client, 0, "a", "ana");
        cluster.time().advance(DEADLINE.minusMillis(1));
        assertThat(result.isDone(), is(false));
        cluster.time().advance(Duration.ofMillis(1));
        CompletionException failure = assertThrows(CompletionException.class, result::join);
        BasilrillException cause = (BasilrillException) failure.getCause();
        assertThat(cause.code(), is(ErrorCode.CONTROL_UNAVAILABLE));
        assertThat(cause.outcome(), is(Outcome.MAY_HAVE_RUN));
    }

    @Test
    void aFailingListenerDoesNotPreventOthersFromReceivingViews() {
        List<Long> seen = new ArrayList<>();
        client.onView(view -> {
            throw new IllegalStateException("listener");
        });
        client.onView(view -> seen.add(view.index()));
        start(client);
        result(replace(client, 0, "a", "ana"));
        cluster.time().advance(SECOND);
        assertThat(seen, is(seen.stream().sorted().distinct().toList()));
        assertThat(seen.size(), is(greaterThan(1)));
    }

    @Test
    void aMalformedMessageIsReportedAsSuch() {
        ControlEndpoint endpoint = new ControlEndpoint(ENTRY, (to, subject, payload) -> {}, cluster.time());
        BasilrillException failure =
                assertThrows(BasilrillException.class, () -> endpoint.received(ENTRY, new byte[] {5, 1, 2}));
        assertThat(failure.code(), is(ErrorCode.MESSAGE_MALFORMED));
        assertThat(failure, is(instanceOf(BasilrillException.class)));
    }

    private java.util.Map<InstanceId, Long> leaderSessions() {
        return cluster.machine(cluster.replicas().get(0)).view().sessions();
    }

    private void start(ControlLogClient starting) {
        begin(starting);
        cluster.time().advance(SECOND);
    }

    private static void begin(ControlLogClient starting) {
        starting.start();
    }

    private ControlResult result(CompletableFuture<ControlResult> future) {
        advanceUntil(future::isDone);
        return future.join();
    }

    private void advanceUntil(BooleanSupplier condition) {
        for (int step = 0; step < 500 && !condition.getAsBoolean(); step++) {
            cluster.time().advance(Duration.ofMillis(10));
        }
    }

    private static CompletableFuture<ControlResult> replace(
            ControlLogClient submittingClient, long revision, String account, String operator) {
        String text = "account " + account + " rate 1 burst 1 # " + operator;
        return submittingClient.submit(new ReplaceRules(revision, text, operator), DEADLINE);
    }

    private static CompletableFuture<ControlResult> claim(
            ControlLogClient submittingClient, InstanceId instance, String attempt) {
        ClaimOrder command = new ClaimOrder(
                new AccountId("a"), "key", "fingerprint", attempt, instance, submittingClient.sessionId(), 0);
        return submittingClient.submit(command, DEADLINE);
    }
}
