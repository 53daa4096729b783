package org.basilrill.coordination.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.admission.TokenAdmission.Charge;
import org.basilrill.state.budget.TokenBucket;
import org.junit.jupiter.api.Test;

/** Tests each rule of the grant protocol separately, at one requester and at one owner. */
class GrantProtocolTest {
    private static final AccountId ACCOUNT = new AccountId("parish-desk");
    private static final InstanceId OWNER = new InstanceId("owner");
    private static final InstanceId REQUESTER = new InstanceId("requester");
    private static final long INCARNATION = 9;
    private static final long EPOCH = 3;

    private final List<List<LocalPool.GrantCharge>> chargedParts = new ArrayList<>();
    private final GrantRequester requester = new GrantRequester(ACCOUNT, INCARNATION, parts -> {
        chargedParts.add(parts);
        return new TokenCharge(0, unused -> {});
    });
    private final TokenBucket bucket = new TokenBucket(0, 1000, 1000, 0);
    private final GrantIssuer issuer = new GrantIssuer(ACCOUNT, OWNER, EPOCH, 1, bucket, 0);

    /**
     * Guards against a late response that extends a grant: the owner has by then counted it as spent and refilled the
     * bucket.
     */
    @Test
    void grantExpiresTwoSecondsAfterRequestDespiteLateResponse() {
        charge(10, 0);
        receiveGrant(1, 100, millis(1_700));
        assertThat(chargedParts, hasSize(1));
        assertThat(requester.unspent(millis(1_999)), is(90L));
        assertThat(requester.unspent(millis(2_000)), is(0L));
    }

    /** Guards against a lifetime that starts only when a very late response arrives. */
    @Test
    void responseAfterGrantLifetimeIsIgnored() {
        charge(10, 0);
        receiveGrant(1, 100, millis(2_000));
        assertThat(requester.unspent(millis(2_000)), is(0L));
    }

    /** Guards against spending one grant twice because its response arrived twice. */
    @Test
    void repeatedResponseIsIgnored() {
        charge(10, 0);
        receiveGrant(1, 100, millis(1));
        receiveGrant(1, 100, millis(2));
        assertThat(requester.unspent(millis(2)), is(90L));
    }

    /** Guards against tokens that the owner refills and the requester spends again. */
    @Test
    void tokensReportedAsSpentAreRefundedToOwner() {
        charge(60, 0);
        receiveGrant(1, 100, millis(1));
        requester.tick(millis(60), new Outbox());
        Outbox outbox = new Outbox();
        requester.refund(chargedParts.get(0), 50, millis(61), outbox);
        assertThat(requester.unspent(millis(61)), is(40L));
        requester.tick(millis(120), outbox);
        BudgetMessage.RequesterUpdate message =
                (BudgetMessage.RequesterUpdate) outbox.drainMessages().get(0).message();
        assertThat(message.refunds(), is(List.of(new BudgetMessage.Refund(1, 7, 50))));
    }

    /** Guards against tokens that are returned to the owner and also spent by the requester. */
    @Test
    void returnedGrantIsNotRestored() {
        charge(60, 0);
        receiveGrant(1, 100, millis(1));
        requester.receive(new BudgetMessage.Recall(ACCOUNT, EPOCH), millis(2), new Outbox());
        requester.refund(chargedParts.get(0), 50, millis(3), new Outbox());
        assertThat(requester.unspent(millis(3)), is(0L));
    }

    /** Guards against crediting a refund twice because its message arrived twice. */
    @Test
    void repeatedRefundIsIgnored() {
        grant(1, 1, 600);
        report(2, EPOCH, new BudgetMessage.Report(1, 0, true));
        refund(3);
        refund(3);
        assertThat(bucket.level(), is(500L));
    }

    /** Guards against a second grant for a request that was resent and arrives after its grant has ended. */
    @Test
    void requestIsGrantedOnce() {
        grant(1, 1, 600);
        report(2, EPOCH, new BudgetMessage.Report(1, 0, true));
        Outbox outbox = grant(3, 1, 400);
        assertThat(outbox.drainMessages(), is(empty()));
        assertThat(bucket.outstanding(), is(0L));
    }

    /**
     * Guards against look-ahead of many instances with little traffic that leaves no tokens for those that need them.
     */
    @Test
    void lookAheadOfManyInstancesLeavesTokensInBucket() {
        int instances = 20;
        for (long request = 1; request <= 2; request++) {
            for (int number = 0; number < instances; number++) {
                long lookAhead = request == 1 ? 0 : 1000;
                BudgetMessage.RequesterUpdate message = new BudgetMessage.RequesterUpdate(
                        ACCOUNT,
                        EPOCH,
                        INCARNATION,
                        request,
                        Optional.of(new BudgetMessage.GrantRequest(request, 1, 1, lookAhead)),
                        List.of(),
                        List.of());
                issuer.receive(new InstanceId("instance-" + number), message, true, millis(1), new Outbox());
            }
        }
        assertThat(bucket.level(), greaterThan(300L));
    }

    /** Guards against losing the tokens of a grant when its response is lost. */
    @Test
    void resentRequestGetsSameGrant() {
        grant(1, 1, 600);
        Outbox outbox = grant(2, 1, 600);
        BudgetMessage.GrantResponse response =
                (BudgetMessage.GrantResponse) outbox.drainMessages().get(0).message();
        assertThat(response.tokens(), is(600L));
        assertThat(bucket.outstanding(), is(600L));
    }

    /** Guards against applying a message about a grant of an earlier epoch to the grant with the same number. */
    @Test
    void messageOfOtherEpochIsIgnored() {
        grant(1, 1, 600);
        report(2, EPOCH - 1, new BudgetMessage.Report(1, 600, true));
        assertThat(bucket.outstanding(), is(600L));
    }

    /** Guards against grants that are issued after the level was read for a handover. */
    @Test
    void frozenBucketGrantsNothing() {
        issuer.freeze();
        assertThat(grant(1, 1, 600).drainMessages(), is(empty()));
        assertThat(bucket.level(), is(1000L));
    }

    private void charge(long tokens, long nanos) {
        Outbox outbox = new Outbox();
        requester.ownerChanged(Optional.of(new GrantRequester.OwnerReference(OWNER, EPOCH)), nanos, outbox);
        CompletableFuture<Charge> result = new CompletableFuture<>();
        requester.charge(tokens, millis(10_000), result, nanos, outbox);
    }

    private void receiveGrant(long request, long tokens, long nanos) {
        Outbox outbox = new Outbox();
        requester.receive(
                new BudgetMessage.GrantResponse(ACCOUNT, EPOCH, INCARNATION, request, tokens, 7, Duration.ZERO),
                nanos,
                outbox);
        outbox.actions().forEach(Runnable::run);
    }

    private Outbox grant(long sequence, long request, long tokens) {
        Outbox outbox = new Outbox();
        receive(
                sequence,
                EPOCH,
                Optional.of(new BudgetMessage.GrantRequest(request, tokens, tokens, 0)),
                List.of(),
                outbox);
        return outbox;
    }

    private void report(long sequence, long epoch, BudgetMessage.Report report) {
        receive(sequence, epoch, Optional.empty(), List.of(report), new Outbox());
    }

    private void refund(long sequence) {
        BudgetMessage.RequesterUpdate message = new BudgetMessage.RequesterUpdate(
                ACCOUNT,
                EPOCH,
                INCARNATION,
                sequence,
                Optional.empty(),
                List.of(),
                List.of(new BudgetMessage.Refund(1, 0, 100)));
        issuer.receive(REQUESTER, message, true, 0, new Outbox());
    }

    private void receive(
            long sequence,
            long epoch,
            Optional<BudgetMessage.GrantRequest> request,
            List<BudgetMessage.Report> reports,
            Outbox outbox) {
        BudgetMessage.RequesterUpdate message =
                new BudgetMessage.RequesterUpdate(ACCOUNT, epoch, INCARNATION, sequence, request, reports, List.of());
        issuer.receive(REQUESTER, message, true, 0, outbox);
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
