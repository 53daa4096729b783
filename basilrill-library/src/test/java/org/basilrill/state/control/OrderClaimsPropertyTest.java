package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.basilrill.api.AccountId;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.Outcome;
import org.basilrill.state.control.ControlCommand.ClaimOrder;
import org.basilrill.state.control.ControlCommand.ExpireSession;
import org.basilrill.state.control.ControlCommand.FinishOrder;
import org.basilrill.state.control.ControlCommand.RegisterSession;
import org.basilrill.state.control.ControlResult.OrderFinished;
import org.basilrill.state.control.ControlResult.OrderGranted;
import org.basilrill.state.control.ControlResult.OrderRunning;
import org.basilrill.state.control.ControlResult.Refused;

/** Guards against orders that run twice because commands are delayed, repeated or applied after an instance is lost. */
class OrderClaimsPropertyTest {
    private static final AccountId ACCOUNT = new AccountId("account");
    private static final InstanceId FIRST = new InstanceId("i0");
    private static final long DAY_MILLIS = 24 * 3_600_000L;

    @Property(tries = 500, seed = "4221")
    void anOrderIsNeverGrantedAgainOnceAnAttemptMayHaveRunIt(@ForAll("choices") List<Integer> choices) {
        MachineHarness harness = new MachineHarness();
        List<ControlCommand> sent = new ArrayList<>();
        Oracle oracle = new Oracle();
        for (int step = 0; step < choices.size(); step++) {
            int choice = choices.get(step);
            if (choice % 17 == 0) {
                harness.restart();
            }
            ControlCommand command = choice % 4 == 0 && !sent.isEmpty()
                    ? sent.get(choice / 4 % sent.size())
                    : command(choice / 4, step, oracle);
            sent.add(command);
            ControlResult result = harness.apply(command);
            oracle.check(command, result);
            var state = harness.state();
            assertThat("a command applied twice gives the same result", harness.apply(command), is(result));
            assertThat("a command applied twice gives the same state", harness.state(), is(state));
        }
    }

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Choices.sequences(0, 150);
    }

    @Example
    void aFinishedOrderReplaysItsResponseAndAnOversizedBodyIsNotRecorded() {
        MachineHarness harness = new MachineHarness();
        harness.apply(new RegisterSession(FIRST, 1));
        harness.apply(claim("k", "a", 0));
        byte[] body = new byte[RecordedResponse.MAXIMUM_BODY_BYTES + 1];
        harness.apply(finish("k", "a", new RecordedResponse(201, "text/plain", body, true)));
        harness.restart();
        OrderFinished finished = (OrderFinished) harness.apply(claim("k", "b", 0));
        assertThat(finished.outcome(), is(Outcome.RAN));
        assertThat(finished.response().map(RecordedResponse::status), is(Optional.of(201)));
        assertThat(finished.response().map(response -> response.body().length), is(Optional.of(0)));
        assertThat(finished.response().map(RecordedResponse::complete), is(Optional.of(false)));
    }

    @Example
    void aClaimAppliedAfterTheEndOfItsAttemptIsRefusedAndLeavesTheOrderFree() {
        MachineHarness harness = new MachineHarness();
        harness.apply(new RegisterSession(FIRST, 1));
        FinishOrder end = new FinishOrder(ACCOUNT, "k", "late", Outcome.NOT_RUN, Optional.empty());
        assertThat(harness.apply(end), is(new ControlResult.Done()));
        harness.restart();
        OrderFinished refused = new OrderFinished(Outcome.NOT_RUN, Optional.empty());
        assertThat(harness.apply(claim("k", "late", 0)), is(refused));
        assertThat(harness.apply(claim("k", "other", 0)), is(new OrderGranted()));
        assertThat(harness.apply(claim("k", "late", 0)), is(new OrderRunning(FIRST)));
    }

    @Example
    void theSameKeyWithDifferentContentIsRefused() {
        MachineHarness harness = new MachineHarness();
        harness.apply(new RegisterSession(FIRST, 1));
        harness.apply(claim("k", "a", 0));
        ClaimOrder other = new ClaimOrder(ACCOUNT, "k", "other fingerprint", "b", FIRST, 1, 0);
        assertThat(((Refused) harness.apply(other)).code(), is(ErrorCode.ORDER_MISMATCH));
    }

    @Example
    void finishedClaimsAreDroppedAfterADayAndRunningOnesAreNot() {
        MachineHarness harness = new MachineHarness();
        harness.apply(new RegisterSession(FIRST, 1));
        harness.apply(claim("running", "a", 0));
        harness.apply(claim("finished", "a", 0));
        harness.apply(finish("finished", "a", new RecordedResponse(200, "text/plain", new byte[1], true)));
        assertThat(harness.apply(claim("finished", "b", DAY_MILLIS)) instanceof OrderFinished, is(true));
        assertThat(harness.apply(claim("finished", "c", DAY_MILLIS + 1)), is(new OrderGranted()));
        assertThat(harness.apply(claim("running", "c", DAY_MILLIS + 1)), is(new OrderRunning(FIRST)));
    }

    @Example
    void recordedResponsesStayWithinTheirBoundAndTheOldestAreDroppedFirst() {
        MachineHarness harness = new MachineHarness();
        harness.apply(new RegisterSession(FIRST, 1));
        int orders = OrderClaims.MAXIMUM_RETAINED_BYTES / RecordedResponse.MAXIMUM_BODY_BYTES + 3;
        for (int order = 0; order < orders; order++) {
            harness.apply(claim("k" + order, "a", 0));
            byte[] body = new byte[RecordedResponse.MAXIMUM_BODY_BYTES];
            harness.apply(finish("k" + order, "a", new RecordedResponse(200, "text/plain", body, true)));
        }
        int overhead = orders * 256;
        assertThat(
                harness.machine().snapshot().length,
                is(lessThanOrEqualTo(OrderClaims.MAXIMUM_RETAINED_BYTES + overhead)));
        OrderFinished oldest = (OrderFinished) harness.apply(claim("k0", "b", 0));
        OrderFinished newest = (OrderFinished) harness.apply(claim("k" + (orders - 1), "b", 0));
        assertThat(oldest.response().orElseThrow().complete(), is(false));
        assertThat(newest.response().orElseThrow().complete(), is(true));
    }

    private static ClaimOrder claim(String key, String attempt, long nowMillis) {
        return new ClaimOrder(ACCOUNT, key, "fingerprint", attempt, FIRST, 1, nowMillis);
    }

    private static FinishOrder finish(String key, String attempt, RecordedResponse response) {
        return new FinishOrder(ACCOUNT, key, attempt, Outcome.RAN, Optional.of(response));
    }

    private static ControlCommand command(int choice, int step, Oracle oracle) {
        InstanceId instance = new InstanceId("i" + choice / 8 % 3);
        long session = 1 + choice / 24 % 4;
        String key = "k" + choice / 96 % 2;
        switch (choice % 8) {
            case 0:
                return new RegisterSession(instance, session);
            case 1:
                return new ExpireSession(instance, session);
            case 2:
            case 3:
            case 4:
                long current = choice / 768 % 4 == 0 ? session : oracle.open.getOrDefault(instance, session);
                return new ClaimOrder(ACCOUNT, key, "fingerprint", "attempt" + step, instance, current, choice);
            case 5:
                String unclaimed = "attempt" + (step + 1 + choice / 192 % 3);
                return new FinishOrder(ACCOUNT, key, unclaimed, Outcome.NOT_RUN, Optional.empty());
            default:
                List<String> attempts = oracle.granted.getOrDefault(key, List.of("none"));
                Outcome outcome = Outcome.values()[choice / 192 % 3];
                String ended = attempts.get(choice / 576 % attempts.size());
                return new FinishOrder(ACCOUNT, key, ended, outcome, Optional.empty());
        }
    }

    /** Tracks which attempts may run an order: each one that was granted and has not reported that nothing ran. */
    private static final class Oracle {
        private final Map<InstanceId, Long> open = new HashMap<>();
        private final Set<String> ended = new HashSet<>();
        private final Map<String, List<String>> granted = new HashMap<>();
        private final Map<String, Set<String>> mayHaveRun = new HashMap<>();
        private final Map<String, Set<String>> notRun = new HashMap<>();
        private final Map<String, ClaimOrder> holders = new HashMap<>();
        private final Map<String, Outcome> finished = new HashMap<>();

        private void check(ControlCommand command, ControlResult result) {
            if (command instanceof RegisterSession register) {
                boolean refused = ended.contains(register.instance() + "/" + register.sessionId());
                assertThat("an ended session never opens again", result instanceof Refused, is(refused));
                if (!refused) {
                    Long previous = open.put(register.instance(), register.sessionId());
                    if (previous != null && previous != register.sessionId()) {
                        ended.add(register.instance() + "/" + previous);
                    }
                }
            }
            if (command instanceof ExpireSession expire) {
                open.remove(expire.instance(), expire.sessionId());
                ended.add(expire.instance() + "/" + expire.sessionId());
            }
            if (command instanceof ClaimOrder claim) {
                checkClaim(claim, result);
            }
            if (command instanceof FinishOrder finish && result instanceof ControlResult.Done) {
                if (finish.outcome() == Outcome.NOT_RUN) {
                    of(mayHaveRun, finish.idempotencyKey()).remove(finish.attempt());
                    of(notRun, finish.idempotencyKey()).add(finish.attempt());
                } else {
                    finished.put(finish.idempotencyKey(), finish.outcome());
                }
            }
        }

        private void checkClaim(ClaimOrder claim, ControlResult result) {
            String key = claim.idempotencyKey();
            Set<String> running = of(mayHaveRun, key);
            if (result instanceof OrderGranted) {
                assertThat("only a repeated claim is granted while an attempt may run", finished.get(key) == null);
                boolean known = granted.getOrDefault(key, List.of()).contains(claim.attempt());
                assertThat("an ended attempt is not granted", of(notRun, key).contains(claim.attempt()), is(false));
                assertThat("only an open session is granted a claim", known || isOpen(claim));
                running.add(claim.attempt());
                holders.put(key, claim);
                granted.computeIfAbsent(key, unused -> new ArrayList<>()).add(claim.attempt());
                assertThat("at most one attempt may have run", running, is(Set.of(claim.attempt())));
            }
            if (result instanceof OrderRunning) {
                ClaimOrder holder = holders.get(key);
                assertThat("a claim of an ended session is not running", isOpen(holder));
            }
            if (result instanceof OrderFinished orderFinished && finished.containsKey(key)) {
                assertThat(orderFinished.outcome(), is(finished.get(key)));
            }
            boolean free =
                    running.isEmpty() && !granted.getOrDefault(key, List.of()).contains(claim.attempt());
            if (free && isOpen(claim) && !of(notRun, key).contains(claim.attempt())) {
                assertThat("a free order is granted", result, is(new OrderGranted()));
            }
        }

        private static Set<String> of(Map<String, Set<String>> attempts, String key) {
            return attempts.computeIfAbsent(key, unused -> new HashSet<>());
        }

        private boolean isOpen(ClaimOrder claim) {
            return Long.valueOf(claim.sessionId()).equals(open.get(claim.instance()));
        }
    }
}
