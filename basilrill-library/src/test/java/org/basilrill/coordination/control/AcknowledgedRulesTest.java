package org.basilrill.coordination.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.function.BiConsumer;
import java.util.stream.IntStream;
import org.basilrill.api.InstanceId;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlResult.RulesAccepted;
import org.basilrill.state.control.ControlResult.RulesConflict;
import org.junit.jupiter.api.Test;

/** Tests that an acknowledged change of the rules is in force everywhere within the bound that operators rely on. */
class AcknowledgedRulesTest {
    private static final List<Duration> BOUNDS =
            List.of(Duration.ofSeconds(2), Duration.ofMillis(2_500), Duration.ofSeconds(6));
    private static final int LARGEST_FLEET = 300;
    private static final Duration DEADLINE = Duration.ofSeconds(4);
    private static final Duration STEP = Duration.ofMillis(10);
    private static final int OFFSETS = 25;

    /** Guards against requests run by replaced rules at an instance whose pulls ended at the acknowledgement. */
    @Test
    void noInstanceDecidesByReplacedRulesAfterTheBoundIfItIsCutOff() {
        forEachBoundAndOffset((bound, offset) -> {
            Fleet fleet = new Fleet(12, bound, offset);
            CompletableFuture<ControlResult> change = fleet.change();
            fleet.instances.subList(1, 7).forEach(fleet.cluster::isolate);
            fleet.checkInForce(change);
        });
    }

    /** Guards against the same at all instances together, if the leader is lost when it has acknowledged. */
    @Test
    void noInstanceDecidesByReplacedRulesAfterTheBoundIfTheLeaderIsLost() {
        forEachBoundAndOffset((bound, offset) -> {
            Fleet fleet = new Fleet(12, bound, offset);
            CompletableFuture<ControlResult> change = fleet.change();
            fleet.advanceUntilCommitted();
            fleet.cluster.depose();
            fleet.checkInForce(change);
        });
    }

    @Test
    void halfOfALargeFleetThatIsCutOffDecidesByNoReplacedRulesAfterTheBound() {
        for (Duration bound : BOUNDS) {
            Fleet fleet = new Fleet(LARGEST_FLEET, bound, 0);
            CompletableFuture<ControlResult> change = fleet.change();
            fleet.instances.subList(1, LARGEST_FLEET / 2).forEach(fleet.cluster::isolate);
            fleet.checkInForce(change);
        }
    }

    /** Guards against operators who wait although no instance can decide by replaced rules for too long. */
    @Test
    void aChangeIsAcknowledgedAtOnceIfTheBoundIsLongerThanViewsAreUsed() {
        Fleet fleet = new Fleet(12, Duration.ofSeconds(6), 0);
        CompletableFuture<ControlResult> change = fleet.change();
        fleet.cluster.time().advance(Duration.ofMillis(50));
        assertThat(change.isDone(), is(true));
    }

    /** Guards against a refusal that reaches the operator late: it needs no time to be in force. */
    @Test
    void aConflictIsReportedAtOnce() {
        Fleet fleet = new Fleet(12, Duration.ofSeconds(2), 0);
        CompletableFuture<ControlResult> conflict =
                fleet.clients.get(0).submit(new ReplaceRules(7, "# none", "ana"), DEADLINE);
        fleet.cluster.time().advance(Duration.ofMillis(50));
        assertThat(conflict.join(), instanceOf(RulesConflict.class));
    }

    private static void forEachBoundAndOffset(BiConsumer<Duration, Integer> check) {
        for (Duration bound : BOUNDS) {
            for (int offset = 0; offset < OFFSETS; offset++) {
                check.accept(bound, offset);
            }
        }
    }

    /** Instances whose pulls are under way when the rules are changed. The operator uses the first one. */
    private static final class Fleet {
        private final FakeCluster cluster;
        private final List<InstanceId> instances;
        private final List<ControlLogClient> clients;
        private final Duration bound;
        private final int committedBefore;

        private Fleet(int size, Duration bound, int offset) {
            this.bound = bound;
            cluster = new FakeCluster(3, 6001 + offset);
            instances = IntStream.range(0, size)
                    .mapToObj(number -> new InstanceId("entry" + number))
                    .toList();
            clients = instances.stream().map(id -> cluster.client(id, bound)).toList();
            clients.forEach(client -> {
                client.start();
                cluster.time().advance(Duration.ofMillis(7));
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
            cluster.time().advance(bound);
            for (ControlLogClient client : clients) {
                boolean inForce = client.view().rules().revision() > 0;
                assertThat("decides by replaced rules", client.isCurrent() && !inForce, is(false));
            }
        }
    }
}
