package org.basilrill.coordination.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import org.basilrill.api.InstanceId;
import org.basilrill.state.control.Choices;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlResult.RulesAccepted;
import org.basilrill.state.control.ControlView;

/** Tests freshness, sessions and compare-and-set while messages are lost, delayed and duplicated and leaders change. */
class ControlLogPropertyTest {
    private static final int STEP_MILLIS = 50;

    @Property(tries = 120, seed = "4311")
    void clientStateIsConsistentWithTheLog(
            @ForAll("choices") List<Integer> choices, @ForAll @IntRange(max = 1_000) int seed) {
        Simulation simulation = new Simulation(seed);
        for (int choice : choices) {
            simulation.step(choice);
        }
        simulation.checkAccepted();
        simulation.checkRecovery();
    }

    @Provide
    Arbitrary<List<Integer>> choices() {
        return Choices.sequences(20, 120);
    }

    /** A cluster with three clients that change the rules concurrently. */
    private static final class Simulation {
        private final FakeCluster cluster;
        private final List<InstanceId> instances =
                List.of(new InstanceId("entry0"), new InstanceId("entry1"), new InstanceId("replica1"));
        private final List<ControlLogClient> clients;
        private final List<Long> revisionsByTime = new ArrayList<>();
        private final Map<Long, Set<String>> acceptedTexts = new HashMap<>();
        private final Map<ControlLogClient, Long> lastViewIndexes = new HashMap<>();
        private int changes;

        private Simulation(int seed) {
            cluster = new FakeCluster(3, seed);
            clients = instances.stream().map(cluster::client).toList();
            cluster.loseMessages(0.15);
            clients.forEach(ControlLogClient::start);
            run(2_000);
        }

        private void step(int choice) {
            InstanceId replica = cluster.replicas().get(choice / 8 % 3);
            int client = choice / 24 % 3;
            switch (choice % 8) {
                case 0:
                    cluster.depose();
                    break;
                case 1:
                    cluster.elect(replica);
                    break;
                case 2:
                    cluster.isolate(choice / 72 % 2 == 0 ? replica : instances.get(client));
                    break;
                case 3:
                    cluster.replicas().forEach(cluster::reconnect);
                    instances.forEach(cluster::reconnect);
                    break;
                case 4:
                    replace(clients.get(client));
                    break;
                default:
                    break;
            }
            run(choice % 40 * STEP_MILLIS);
        }

        private void replace(ControlLogClient client) {
            long revision = client.view().rules().revision();
            String text = "account a" + changes++ + " rate 1 burst 1 # Ana";
            CompletableFuture<ControlResult> result =
                    client.submit(new ReplaceRules(revision, text, "ana"), Duration.ofSeconds(3));
            result.thenAccept(controlResult -> {
                if (controlResult instanceof RulesAccepted accepted) {
                    acceptedTexts
                            .computeIfAbsent(accepted.revision(), key -> new HashSet<>())
                            .add(text);
                }
            });
        }

        private void run(int millis) {
            for (int elapsed = 0; elapsed < millis; elapsed += STEP_MILLIS) {
                revisionsByTime.add(newestView().rules().revision());
                cluster.time().advance(Duration.ofMillis(STEP_MILLIS));
                check();
            }
        }

        private void check() {
            ControlView newestView = newestView();
            for (int number = 0; number < clients.size(); number++) {
                ControlLogClient client = clients.get(number);
                long index = client.view().index();
                assertThat("the view index never decreases", index >= lastViewIndexes.getOrDefault(client, 0L));
                lastViewIndexes.put(client, index);
                if (client.holdsSession()) {
                    Long open = newestView.sessions().get(instances.get(number));
                    assertThat("a held session is open", open, is(client.sessionId()));
                }
                if (client.isCurrent()) {
                    int steps = (int) ViewPuller.FRESHNESS_BOUND.toMillis() / STEP_MILLIS;
                    int past = Math.max(0, revisionsByTime.size() - 1 - steps);
                    boolean fresh = client.view().rules().revision() >= revisionsByTime.get(past);
                    assertThat("a current view is at most as old as the bound", fresh);
                }
            }
        }

        private void checkAccepted() {
            acceptedTexts.forEach((revision, texts) -> assertThat("one text for each revision", texts.size(), is(1)));
        }

        /** Checks that all clients recover without intervention once the network is healed. */
        private void checkRecovery() {
            cluster.replicas().forEach(cluster::reconnect);
            instances.forEach(cluster::reconnect);
            cluster.loseMessages(0);
            cluster.elect(cluster.replicas().get(0));
            run(8_000);
            for (ControlLogClient client : clients) {
                assertThat(client.isCurrent(), is(true));
                assertThat(client.holdsSession(), is(true));
                assertThat(client.view(), is(newestView()));
            }
        }

        /** Returns the newest view that any replica has applied; no newer one is committed. */
        private ControlView newestView() {
            return cluster.replicas().stream()
                    .map(replica -> cluster.machine(replica).view())
                    .max(java.util.Comparator.comparingLong(ControlView::index))
                    .orElseThrow();
        }
    }
}
