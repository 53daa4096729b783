package org.basilrill.protocol.instance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.basilrill.api.ErrorCode;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.instance.CoordinatorFixture.Started;
import org.basilrill.protocol.instance.FakeConnector.FakeCall;
import org.basilrill.protocol.target.TargetConnector;

/**
 * Runs random histories of requests, failures, lost results of the control log, withdrawn keys and disconnected
 * callers, and checks the invariants after each of them.
 */
class RequestCoordinatorFuzzTest {
    private static final int STEPS = 150;
    private static final int ORDER_KEYS = 4;

    /** Kept in a field because the log manager discards unreferenced loggers; its level mutes thousands of failures. */
    private static final Logger LOGGER = Logger.getLogger("org.basilrill.protocol.instance");

    static {
        LOGGER.setLevel(Level.SEVERE);
    }

    /** Guards four invariants: one final response, a true not_run, an order runs at most once, no resource leaks. */
    @Property(seed = "20261204", tries = 2000, shrinking = ShrinkingMode.OFF)
    void everyHistoryKeepsTheInvariants(@ForAll long seed) {
        History history = new History(seed);
        for (int step = 0; step < STEPS; step++) {
            history.step();
        }
        history.finish();
        history.check();
    }

    /** One random history. */
    private static final class History {
        private final Random random;
        private final CoordinatorFixture fixture = new CoordinatorFixture(3);
        private final List<Request> requests = new ArrayList<>();
        private final List<FakeControl.Submission> submissions = new ArrayList<>();
        private long revision = 1;

        History(long seed) {
            random = new Random(seed);
            fixture.control().setDelivery(submissions::add);
        }

        void step() {
            switch (random.nextInt(12)) {
                case 0, 1 -> startRequest();
                case 2 -> deliverSubmission();
                case 3 -> fixture.time().advance(Duration.ofMillis(random.nextInt(4000)));
                case 4 -> injectDisturbance();
                default -> advanceCall();
            }
        }

        /** Delivers all pending commands and passes all deadlines, so that every request ends. */
        void finish() {
            while (!submissions.isEmpty()) {
                deliverSubmission();
            }
            for (int round = 0; round < 12; round++) {
                fixture.time().advance(Duration.ofSeconds(15));
                while (!submissions.isEmpty()) {
                    deliverSubmission();
                }
            }
        }

        void check() {
            Map<String, Integer> runs = new HashMap<>();
            for (Request request : requests) {
                RecordingStream stream = request.started.stream();
                int sent = fixture.connector().timesSent(request.id);
                assertThat(request.id + " contract", stream.contractViolation(), is(""));
                assertThat(request.id + " finals", stream.terminations(), is(1));
                if (stream.reportsOutcome("not_run")) {
                    assertThat(request.id + " says not_run", sent, is(0));
                }
                boolean complete = stream.status() == 200
                        && !stream.aborted()
                        && !stream.text().contains("\"error\"");
                if (complete && request.orderKey.isEmpty()) {
                    assertThat("response of " + request.id, stream.text(), is(expectedResponse(request.id)));
                }
                if (!request.orderKey.isEmpty()) {
                    runs.merge(request.orderKey, sent, Integer::sum);
                }
            }
            runs.forEach((key, count) -> assertThat("runs of order " + key, count, lessThanOrEqualTo(1)));
            assertThat("everything returned", fixture.allResourcesReleased(), is(true));
        }

        private void startRequest() {
            String id = "request-" + requests.size();
            String orderKey = "";
            Started started;
            int kind = random.nextInt(3);
            if (kind == 0) {
                orderKey = "order-" + random.nextInt(ORDER_KEYS);
                RequestHead head = CoordinatorFixture.head(
                        "POST",
                        "/v1/services/ledger/orders",
                        "Idempotency-Key",
                        orderKey,
                        "X-Request-Id",
                        id,
                        "X-Request-Timeout-Ms",
                        String.valueOf(1 + random.nextInt(9000)));
                started = fixture.start(head, "{}");
            } else if (kind == 1) {
                RequestHead head = CoordinatorFixture.head("POST", "/v1/services/ledger/notes", "X-Request-Id", id);
                started = fixture.start(head, "{}");
            } else {
                started = fixture.complete("X-Request-Id", id);
            }
            requests.add(new Request(id, orderKey, started));
        }

        private void deliverSubmission() {
            if (submissions.isEmpty()) {
                return;
            }
            FakeControl.Submission submission = submissions.remove(random.nextInt(submissions.size()));
            switch (random.nextInt(8)) {
                case 0 -> submission.applyAndLoseResult();
                case 1 -> submission.lose();
                default -> submission.applyAndRespond();
            }
        }

        private void injectDisturbance() {
            switch (random.nextInt(6)) {
                case 0 -> fixture.control().install(FakeServices.rules(++revision, false));
                case 1, 2 -> fixture.control().install(FakeServices.rules(++revision, true));
                case 3 -> fixture.services().failAdmission(random.nextBoolean() ? ErrorCode.RATE_EXCEEDED : null);
                case 4 -> fixture.services().allowRetries(random.nextInt(10));
                default -> {
                    if (!requests.isEmpty()) {
                        requests.get(random.nextInt(requests.size()))
                                .started
                                .running()
                                .callerDisconnected();
                    }
                }
            }
        }

        /** Triggers the next event of one call, sometimes of a cancelled one, as on real connections. */
        private void advanceCall() {
            List<FakeCall> calls = fixture.connector().calls().stream()
                    .filter(call -> call.active() || random.nextInt(20) == 0)
                    .toList();
            if (calls.isEmpty()) {
                return;
            }
            FakeCall call = calls.get(random.nextInt(calls.size()));
            if (!call.sent()) {
                if (random.nextInt(4) == 0) {
                    call.fail(TargetConnector.FailureKind.UNREACHABLE, false);
                } else {
                    call.send();
                }
                return;
            }
            if (!call.headSent() && call.active() && random.nextInt(6) == 0) {
                call.refuseAsFull();
                return;
            }
            if (!call.headSent()) {
                String id = random.nextInt(10) == 0 ? "another" : call.requestId();
                call.head(200, "text/event-stream", id);
                return;
            }
            if (random.nextInt(6) == 0) {
                call.fail(TargetConnector.FailureKind.CONNECTION_LOST, random.nextBoolean());
            } else {
                call.data(expectedResponse(call.requestId()));
                call.end();
            }
        }

        private static String expectedResponse(String id) {
            return "data: answer of " + id + "\n\n";
        }
    }

    /** A request of a history. */
    private record Request(String id, String orderKey, Started started) {}
}
