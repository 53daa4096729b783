package org.basilrill.coordination.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.basilrill.api.InstanceId;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlResult.RulesAccepted;
import org.junit.jupiter.api.Test;

/** Tests that an acknowledged change of the rules is in force everywhere within the bound that operators rely on. */
class AcknowledgedRulesTest {
    private static final Duration BOUND = Duration.ofSeconds(2);
    private static final Duration DEADLINE = Duration.ofSeconds(4);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int OFFSETS = 25;

    /** Guards against requests that an instance runs by replaced rules because its pulls ended at the acknowledgement. */
    @Test
    void noInstanceDecidesByReplacedRulesAfterTheBoundIfItIsCutOff() {
        for (int offset = 0; offset < OFFSETS; offset++) {
            Fleet fleet = new Fleet(12, offset);
            CompletableFuture<ControlResult> change = fleet.change();
            fleet.instances.subList(1, 7).forEach(fleet.cluster::isolate);
            fleet.checkInForce(change);
        }
    }

    /** Guards against the same at all instances together, if the leader is lost when it has acknowledged. */
    @Test
    void noInstanceDecidesByReplacedRulesAfterTheBoundIfTheLeaderIsLost() {
        for (int offset = 0; offset < OFFSETS; offset++) {
            Fleet fleet = new Fleet(12, offset);
            CompletableFuture<ControlResult> change = fleet.change();
            fleet.advanceUntilCommitted();
            fleet.cluster.depose();
            fleet.checkInForce(change);
        }
    }

    /** Instances whose pulls are under way when the rules are changed. The operator uses the first one. */
    private static final class Fleet {
        private final FakeCluster cluster;
        private final List<InstanceId> instances;
        private final List<ControlLogClient> clients;
        private final int committedBefore;

        private Fleet(int size, int offset) {
            cluster = new FakeCluster(3, 6001 + offset);
            instances = IntStream.range(0, size)
                    .mapToObj(number -> new InstanceId("entry" + number))
                    .toList();
            clients = instances.stream().map(cluster::client).toList();
            clients.forEach(client -> {
                client.start();
                cluster.time().advance(Duration.ofMillis(17));
            });
            cluster.time().advance(Duration.ofSeconds(2).plus(STEP.multipliedBy(2L * offset)));
            committedBefore = cluster.committedCommands();
        }

        CompletableFuture<ControlResult> change() {
            String text = "account a rate 1 burst 1 # Ana";
            return clients.get(0).submit(new ReplaceRules(0, text, "ana"), DEADLINE);
        }

        void advanceUntilCommitted() {
            while (cluster.committedCommands() == committedBefore) {
                cluster.time().advance(Duration.ofMillis(1));
            }
        }

        void checkInForce(CompletableFuture<ControlResult> change) {
            for (Duration waited = Duration.ZERO; !change.isDone(); waited = waited.plus(STEP)) {
                assertThat("the change is acknowledged", waited.compareTo(DEADLINE) < 0, is(true));
                cluster.time().advance(STEP);
            }
            assertThat(change.join(), instanceOf(RulesAccepted.class));
            cluster.time().advance(BOUND);
            for (ControlLogClient client : clients) {
                boolean inForce = client.view().rules().revision() > 0;
                assertThat("decides by replaced rules", client.isCurrent() && !inForce, is(false));
            }
        }
    }
}
