package org.basilrill.coordination.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.InstanceId;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlResult;
import org.junit.jupiter.api.Test;

/** Tests the submission of commands whose transfer takes longer than the commit of a small one. */
class LargeCommandTest {
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final int TEXT_CHARACTERS = 400_000;

    private final FakeCluster cluster = new FakeCluster(3, 4301);
    private final ControlLogClient client = cluster.client(new InstanceId("entry"));

    /** Guards against copies of a large change that fill the link on which the first one is still on its way. */
    @Test
    void aLargeCommandIsSubmittedOnceWhileItsTransferTakesLongerThanASmallOne() {
        client.start();
        cluster.time().advance(Duration.ofSeconds(1));
        cluster.delayMessages(Duration.ofMillis(500));
        int before = cluster.committedCommands();
        String text = "account a rate 1 burst 1 # ana\n# " + "x".repeat(TEXT_CHARACTERS) + " # ana";
        CompletableFuture<ControlResult> result = client.submit(new ReplaceRules(0, text, "ana"), DEADLINE);
        cluster.time().advance(DEADLINE);
        assertThat(result.isDone(), is(true));
        assertThat(cluster.committedCommands() - before, is(1));
    }
}
