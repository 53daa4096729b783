package org.basilrill.protocol.instance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.basilrill.protocol.instance.CoordinatorFixture.Started;
import org.basilrill.protocol.target.TargetConnector;
import org.junit.jupiter.api.Test;

/** Tests which requests a planned stop still passes on when little of its time is left. */
class LastPartOfStopTest {
    private final CoordinatorFixture fixture = new CoordinatorFixture(3);

    /** Guards against a request that is passed on at the end of a stop and cut, though others could serve it. */
    @Test
    void aRequestThatIsNotAtATargetIsRefusedAsNotRun() {
        List<FakeControl.Submission> submissions = new ArrayList<>();
        fixture.control().setDelivery(submissions::add);
        Started waiting = fixture.order("k1");
        fixture.coordinator().drain();
        assertThat(waiting.stream().complete(), is(false));
        fixture.coordinator().startNoAttempts();
        submissions.get(0).applyAndRespond();
        assertThat(waiting.stream().status(), is(503));
        assertThat(waiting.stream().text(), containsString("INSTANCE_DRAINING"));
        assertThat(waiting.stream().text(), containsString("not_run"));
        assertThat(calls(), is(0));
    }

    /** Guards against a second attempt that the end of the stop would cut. */
    @Test
    void aRequestWhoseAttemptFailsIsNotSentToAnotherTarget() {
        Started failing = fixture.complete();
        fixture.coordinator().drain();
        fixture.coordinator().startNoAttempts();
        fixture.connector().last().fail(TargetConnector.FailureKind.UNREACHABLE, false);
        assertThat(calls(), is(1));
        assertThat(failing.stream().status(), is(503));
        assertThat(failing.stream().text(), containsString("not_run"));
    }

    /** Guards against a stop that cuts running requests before its limit. */
    @Test
    void aRequestAtATargetRunsToItsEnd() {
        Started running = fixture.complete();
        fixture.connector().last().stream();
        fixture.coordinator().drain();
        fixture.coordinator().startNoAttempts();
        fixture.connector().last().data("data: [DONE]\n\n");
        fixture.connector().last().end();
        assertThat(running.stream().complete(), is(true));
        assertThat(running.stream().status(), is(200));
    }

    private int calls() {
        return fixture.connector().calls().size();
    }
}
