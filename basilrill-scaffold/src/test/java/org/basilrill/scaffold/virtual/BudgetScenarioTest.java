package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.admission.TokenAdmission.Charge;
import org.basilrill.coordination.budget.BudgetSnapshot;
import org.basilrill.state.configuration.Rules;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Guards single failures and refusals that random runs cannot distinguish from correct behaviour. */
class BudgetScenarioTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final AccountId ACCOUNT = new AccountId("parish-desk");
    private static final long RATE = 100;
    private static final long BURST = 10_000;

    private final VirtualDeployment deployment = new VirtualDeployment(3, 4718);

    @BeforeEach
    void startDeployment() {
        LOGGER.setLevel(Level.OFF);
        deployment.log().replaceAccounts(List.of(new Rules.Account(ACCOUNT, RATE, BURST, 1)));
        deployment.start();
        run(10_000);
    }

    /** Guards against an account that cannot use its burst because another instance has unspent granted tokens. */
    @Test
    void unspentGrantsOfOtherInstancesAreRecalled() {
        InstanceId first = others().get(0);
        InstanceId second = others().get(1);
        for (int request = 0; request < 20; request++) {
            charge(first, 100, 1000);
            run(20);
        }
        long unspent = snapshot(first).unspentHere();
        long level = snapshot(owner()).bucket().orElseThrow().level();
        assertThat(unspent, is(greaterThan(10L)));
        CompletableFuture<Charge> charge = charge(second, level + unspent - 5, 1000);
        run(100);
        assertThat(charge.join().tokens(), is(level + unspent - 5));
    }

    /** Guards against a charge that waits until its deadline because one grant request was lost. */
    @Test
    void aLostGrantRequestIsSentAgain() {
        deployment.network().inject(new VirtualNetwork.Faults(1, 0, 0));
        CompletableFuture<Charge> charge = charge(others().get(0), 10, 1000);
        run(50);
        deployment.network().inject(VirtualNetwork.Faults.NONE);
        run(200);
        assertThat(charge.isDone(), is(true));
        assertThat(charge.join().tokens(), is(10L));
    }

    /** Guards against charges that never complete, or fail without a retry time, while the owner is unreachable. */
    @Test
    void requestsWaitForAnUnreachableOwnerUntilTheirDeadline() {
        deployment.network().cutFromPeers(owner(), true);
        CompletableFuture<Charge> charge = charge(others().get(0), 10, 800);
        run(790);
        assertThat(charge.isDone(), is(false));
        run(20);
        BasilrillException refusal = refusal(charge);
        assertThat(refusal.code(), is(ErrorCode.BUDGET_UNAVAILABLE));
        assertThat(refusal.retryAfter().orElseThrow(), is(greaterThan(Duration.ZERO)));
    }

    /** Guards against a retry time that is too early or much too late. */
    @Test
    void aRefusalStatesWhenEnoughTokensAreRefilled() {
        InstanceId instance = others().get(0);
        charge(instance, BURST, 1000);
        run(100);
        CompletableFuture<Charge> refused = charge(instance, 500, 1000);
        run(100);
        BasilrillException refusal = refusal(refused);
        assertThat(refusal.code(), is(ErrorCode.RATE_EXCEEDED));
        long wait = refusal.retryAfter().orElseThrow().toMillis();
        assertThat(wait, is(lessThan(7_500L)));
        run(wait);
        CompletableFuture<Charge> served = charge(instance, 500, 1000);
        run(100);
        assertThat(served.join().tokens(), is(500L));
    }

    /** Guards against a charge above the burst that is queued, although no refill can ever cover it. */
    @Test
    void aRequestBeyondTheBurstIsRefusedImmediately() {
        BasilrillException refusal = refusal(charge(owner(), BURST + 1, 1000));
        assertThat(refusal.code(), is(ErrorCode.EXCEEDS_BURST));
        assertThat(refusal.retryAfter().isPresent(), is(false));
    }

    /** Guards against a planned handover that loses the level of the bucket or the charges queued during it. */
    @Test
    void aPlannedHandoverKeepsTheLevelAndServesQueuedRequests() {
        InstanceId leaving = owner();
        CompletableFuture<Void> handedOver = deployment.budgets(leaving).handOver();
        CompletableFuture<Charge> charge = charge(others().get(0), 4000, 1000);
        run(500);
        assertThat(handedOver.isDone(), is(true));
        assertThat(charge.join().tokens(), is(4000L));
        assertThat(owner(), is(not(leaving)));
        assertThat(snapshot(owner()).bucket().orElseThrow().level(), is(greaterThanOrEqualTo(BURST - 4000 - 1000)));
    }

    /** Guards against a new owner that refills tokens which the earlier owner granted and which are still unspent. */
    @Test
    void grantsOfTheEarlierOwnerLimitTheLevelAfterAHandover() {
        deployment.log().replaceAccounts(List.of(new Rules.Account(ACCOUNT, 10 * BURST, BURST, 1)));
        run(1_500);
        InstanceId instance = others().get(0);
        for (int request = 0; request < 20; request++) {
            charge(instance, 100, 1000);
            run(20);
        }
        deployment.budgets(owner()).handOver();
        run(200);
        long unspent = snapshot(instance).unspentHere();
        assertThat(unspent, is(greaterThan(10L)));
        long level = snapshot(owner()).bucket().orElseThrow().level();
        assertThat(level + unspent, is(lessThan(BURST + 1)));
    }

    /** Guards against a bucket that has no owner after a crash, or that starts full with its new owner. */
    @Test
    void aLostOwnerIsReplacedAfterSevenSecondsByOneThatStartsEmpty() {
        deployment.crash(owner());
        InstanceId instance = deployment.instances().stream()
                .filter(deployment::isRunning)
                .findFirst()
                .orElseThrow();
        CompletableFuture<Charge> charge = charge(instance, 10, 10_000);
        run(6_000);
        assertThat(charge.isDone(), is(false));
        run(4_500);
        assertThat(charge.isDone(), is(true));
        assertThat(refusalOrTokens(charge), is("RATE_EXCEEDED"));
        CompletableFuture<Charge> later = charge(instance, 10, 1000);
        run(1_000);
        assertThat(later.join().tokens(), is(10L));
    }

    /** Guards against a bucket that stays without an owner because the preferred candidate does not claim it. */
    @Test
    void aLaterCandidateClaimsTheBucketIfTheFirstDoesNot() {
        InstanceId lost = owner();
        deployment.crash(lost);
        List<InstanceId> alive =
                deployment.instances().stream().filter(deployment::isRunning).toList();
        for (InstanceId draining : alive) {
            InstanceId other = alive.get(draining.equals(alive.get(0)) ? 1 : 0);
            deployment.budgets(draining).handOver();
            run(12_000);
            assertThat(snapshot(other).owner().isPresent(), is(true));
            CompletableFuture<Charge> charge = charge(other, 1, 1000);
            run(1_000);
            assertThat(charge.join().tokens(), is(1L));
            deployment.crash(draining);
            deployment.restart(draining);
            run(2_000);
        }
    }

    /** Guards against charges to an account that was removed from the rules. */
    @Test
    void aRemovedAccountIsRefused() {
        deployment.log().replaceAccounts(List.of());
        run(1_500);
        assertThat(refusal(charge(owner(), 1, 1000)).code(), is(ErrorCode.BUDGET_UNAVAILABLE));
    }

    /** Guards against a charge whose unused tokens are refunded twice. */
    @Test
    void onlyTheFirstSettlementCounts() {
        InstanceId instance = owner();
        Charge charge = charge(instance, 8000, 1000).join();
        charge.settle(5000);
        charge.settle(0);
        run(1_000);
        assertThat(snapshot(instance).bucket().orElseThrow().level(), is(lessThan(5_500L)));
    }

    /** Guards against tokens that stay charged after the charge was cancelled. */
    @Test
    void tokensOfACancelledRequestAreRefunded() {
        InstanceId instance = others().get(0);
        CompletableFuture<Charge> charge = charge(instance, 8000, 1000);
        charge.cancel(false);
        run(1_000);
        assertThat(snapshot(owner()).bucket().orElseThrow().level(), is(BURST));
    }

    private void run(long millis) {
        deployment.time().runFor(Duration.ofMillis(millis));
    }

    private CompletableFuture<Charge> charge(InstanceId instance, long tokens, long deadlineMillis) {
        long deadline =
                deployment.nanos(instance) + Duration.ofMillis(deadlineMillis).toNanos();
        return deployment.budgets(instance).charge(ACCOUNT, tokens, deadline);
    }

    private BudgetSnapshot snapshot(InstanceId instance) {
        return deployment.budgets(instance).snapshots().get(0);
    }

    private InstanceId owner() {
        return deployment.log().view().bucketOwners().get(ACCOUNT).owner();
    }

    private List<InstanceId> others() {
        return deployment.instances().stream()
                .filter(instance -> !instance.equals(owner()))
                .toList();
    }

    private static String refusalOrTokens(CompletableFuture<Charge> charge) {
        return charge.isCompletedExceptionally()
                ? refusal(charge).code().name()
                : String.valueOf(charge.join().tokens());
    }

    private static BasilrillException refusal(CompletableFuture<Charge> charge) {
        CompletionException thrown = assertThrows(CompletionException.class, charge::join);
        return (BasilrillException) thrown.getCause();
    }
}
