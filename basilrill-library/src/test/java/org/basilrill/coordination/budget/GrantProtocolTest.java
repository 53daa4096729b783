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

/** Guards each rule of the grant protocol alone, at one requester and at one owner. */
class GrantProtocolTest {
    private static final AccountId ACCOUNT = new AccountId("parish-desk");
    private static final InstanceId OWNER = new InstanceId("owner");
    private static final InstanceId REQUESTER = new InstanceId("requester");
    private static final long INCARNATION = 9;
    private static final long EPOCH = 3;

    private final List<List<LocalPool.Part>> paid = new ArrayList<>();
    private final GrantRequester requester = new GrantRequester(ACCOUNT, INCARNATION, parts -> {
        paid.add(parts);
        return new TokenCharge(0, unused -> {});
    });
    private final TokenBucket bucket = new TokenBucket(0, 1000, 1000, 0);
    private final GrantIssuer issuer = new GrantIssuer(ACCOUNT, OWNER, EPOCH, 1, bucket, 0);

    /** Guards against tokens spent after the owner has counted the grant as spent and refilled the bucket. */
    @Test
    void aGrantExpiresTwoSecondsAfterItsAskHoweverLateTheAnswer() {
        ask(10, 0);
        answered(1, 100, millis(1_700));
        assertThat(paid, hasSize(1));
        assertThat(requester.unspent(millis(1_999)), is(90L));
        assertThat(requester.unspent(millis(2_000)), is(0L));
    }

    /** Guards against a grant that begins to count only when a very late answer arrives. */
    @Test
    void anAnswerAfterTheLifetimeOfTheGrantHasNoEffect() {
        ask(10, 0);
        answered(1, 100, millis(2_000));
        assertThat(requester.unspent(millis(2_000)), is(0L));
    }

    /** Guards against one grant that is spent twice because its answer arrived twice. */
    @Test
    void aRepeatedAnswerHasNoEffect() {
        ask(10, 0);
        answered(1, 100, millis(1));
        answered(1, 100, millis(2));
        assertThat(requester.unspent(millis(2)), is(90L));
    }

    /** Guards against tokens that are both refilled by the owner and spent again here. */
    @Test
    void tokensReportedAsSpentAreRefundedAndNotPutBack() {
        ask(60, 0);
        answered(1, 100, millis(1));
        requester.tick(millis(60), new Outbox());
        Outbox outbox = new Outbox();
        requester.takeBack(paid.get(0), 50, millis(61), outbox);
        assertThat(requester.unspent(millis(61)), is(40L));
        requester.tick(millis(120), outbox);
        BudgetMessage.FromRequester message =
                (BudgetMessage.FromRequester) outbox.takeParcels().get(0).message();
        assertThat(message.refunds(), is(List.of(new BudgetMessage.Refund(1, 7, 50))));
    }

    /** Guards against tokens that are returned to the owner and spent here as well. */
    @Test
    void nothingIsPutBackIntoAGrantThatWasReturned() {
        ask(60, 0);
        answered(1, 100, millis(1));
        requester.receive(new BudgetMessage.Recall(ACCOUNT, EPOCH), millis(2), new Outbox());
        requester.takeBack(paid.get(0), 50, millis(3), new Outbox());
        assertThat(requester.unspent(millis(3)), is(0L));
    }

    /** Guards against a refund that counts twice because its message arrived twice. */
    @Test
    void aRepeatedRefundHasNoEffect() {
        grant(1, 1, 600);
        report(2, EPOCH, new BudgetMessage.Report(1, 0, true));
        refund(3);
        refund(3);
        assertThat(bucket.level(), is(500L));
    }

    /** Guards against a second grant for an ask that was sent again and arrives after its grant has ended. */
    @Test
    void anAskIsGrantedOnce() {
        grant(1, 1, 600);
        report(2, EPOCH, new BudgetMessage.Report(1, 0, true));
        Outbox outbox = grant(3, 1, 400);
        assertThat(outbox.takeParcels(), is(empty()));
        assertThat(bucket.outstanding(), is(0L));
    }

    /** Pattern: many instances with little traffic each; what they held in advance was missing where it was needed. */
    @Test
    void lookAheadsOfManyInstancesLeaveTokensInTheBucket() {
        int instances = 20;
        for (long ask = 1; ask <= 2; ask++) {
            for (int number = 0; number < instances; number++) {
                long lookAhead = ask == 1 ? 0 : 1000;
                BudgetMessage.FromRequester message = new BudgetMessage.FromRequester(
                        ACCOUNT,
                        EPOCH,
                        INCARNATION,
                        ask,
                        Optional.of(new BudgetMessage.Ask(ask, 1, 1, lookAhead)),
                        List.of(),
                        List.of());
                issuer.receive(new InstanceId("instance-" + number), message, true, millis(1), new Outbox());
            }
        }
        assertThat(bucket.level(), greaterThan(300L));
    }

    /** Guards against a lost answer that costs the tokens of its grant. */
    @Test
    void anAskThatIsSentAgainIsAnsweredWithTheSameGrant() {
        grant(1, 1, 600);
        Outbox outbox = grant(2, 1, 600);
        BudgetMessage.Answer answer =
                (BudgetMessage.Answer) outbox.takeParcels().get(0).message();
        assertThat(answer.tokens(), is(600L));
        assertThat(bucket.outstanding(), is(600L));
    }

    /** Guards against a message about an earlier epoch's grant of the same number. */
    @Test
    void aMessageOfAnotherEpochHasNoEffect() {
        grant(1, 1, 600);
        report(2, EPOCH - 1, new BudgetMessage.Report(1, 600, true));
        assertThat(bucket.outstanding(), is(600L));
    }

    /** Guards against grants made after the level was read for a handover. */
    @Test
    void aFrozenBucketGrantsNothing() {
        issuer.freeze();
        assertThat(grant(1, 1, 600).takeParcels(), is(empty()));
        assertThat(bucket.level(), is(1000L));
    }

    private void ask(long tokens, long nanos) {
        Outbox outbox = new Outbox();
        requester.ownerChanged(Optional.of(new GrantRequester.OwnerReference(OWNER, EPOCH)), nanos, outbox);
        CompletableFuture<Charge> result = new CompletableFuture<>();
        requester.charge(tokens, millis(10_000), result, nanos, outbox);
    }

    private void answered(long ask, long tokens, long nanos) {
        Outbox outbox = new Outbox();
        requester.receive(
                new BudgetMessage.Answer(ACCOUNT, EPOCH, INCARNATION, ask, tokens, 7, Duration.ZERO), nanos, outbox);
        outbox.actions().forEach(Runnable::run);
    }

    private Outbox grant(long sequence, long ask, long tokens) {
        Outbox outbox = new Outbox();
        receive(sequence, EPOCH, Optional.of(new BudgetMessage.Ask(ask, tokens, tokens, 0)), List.of(), outbox);
        return outbox;
    }

    private void report(long sequence, long epoch, BudgetMessage.Report report) {
        receive(sequence, epoch, Optional.empty(), List.of(report), new Outbox());
    }

    private void refund(long sequence) {
        BudgetMessage.FromRequester message = new BudgetMessage.FromRequester(
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
            Optional<BudgetMessage.Ask> ask,
            List<BudgetMessage.Report> reports,
            Outbox outbox) {
        BudgetMessage.FromRequester message =
                new BudgetMessage.FromRequester(ACCOUNT, epoch, INCARNATION, sequence, ask, reports, List.of());
        issuer.receive(REQUESTER, message, true, 0, outbox);
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }
}
