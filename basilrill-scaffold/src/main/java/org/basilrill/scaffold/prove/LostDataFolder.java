package org.basilrill.scaffold.prove;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.Random;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.basilrill.api.LogEvent;
import org.basilrill.scaffold.prove.Deployment.DeploymentOptions;
import org.basilrill.scaffold.prove.Exchange.Call;
import org.basilrill.scaffold.prove.ProcessGroup.Signal;

/**
 * Deletes the data folder of a stopped replica and kills a second replica right after the repair of the first. Then
 * deletes a data folder while only a lagging replica is left. No accepted change may be lost.
 */
final class LostDataFolder implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    private static final String ENTRY_INSTANCE = "entry-4";
    private static final int CHANGES = 12;
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final Duration REPAIR_LIMIT = Duration.ofSeconds(30);
    private static final Duration CHANGE_LIMIT = Duration.ofSeconds(20);
    /** Many election timeouts, so that a leader without the accepted entries would be elected if that were possible. */
    private static final int SEVERAL_ELECTIONS_MILLIS = 5000;

    @Override
    public String name() {
        return "lost-data-folder";
    }

    @Override
    public String run(ScenarioEnvironment environment, Random random) throws Exception {
        try (Deployment deployment = new Deployment(environment, DeploymentOptions.of(5))) {
            deployment.startTarget("ledger-1", deployment.instances(), "--service", RuleText.SERVICE);
            RuleText rules = new RuleText().account(ACCOUNT);
            deployment.start(rules.text("first"));
            deployment.awaitService(Calls.lookup(ACCOUNT, "warm"), List.of(ENTRY_INSTANCE, "entry-5"));
            ChangeRecorder recorder = new ChangeRecorder(deployment, rules);
            List<String> replicas = new ArrayList<>(deployment.replicas());
            Collections.shuffle(replicas, random);
            String wiped = replicas.get(0);
            String second = replicas.get(1);
            String third = replicas.get(2);

            recorder.change(CHANGES);
            String lostVoterId = voterId(deployment, wiped, third);
            deployment.kill(wiped);
            delete(deployment.dataFolder(wiped));
            recorder.change(CHANGES);
            deployment.startInstance(wiped);
            Duration repair = awaitRepair(deployment, wiped, lostVoterId, third);
            deployment.kill(second);
            recorder.change(CHANGES);
            recorder.verify(List.of(ENTRY_INSTANCE, "entry-5"));
            deployment.startInstance(second);
            deployment.awaitReady(second);

            deployment.signal(third, Signal.STOP);
            recorder.change(CHANGES);
            deployment.kill(wiped);
            deployment.kill(second);
            delete(deployment.dataFolder(wiped));
            deployment.signal(third, Signal.CONT);
            deployment.startInstance(wiped);
            Waiting.sleepMillis(SEVERAL_ELECTIONS_MILLIS);
            recorder.requireNoChange();
            deployment.startInstance(second);
            deployment.awaitReady(second);
            recorder.change(CHANGES);
            recorder.verify(deployment.instances());
            return recorder.accepted() + " revisions and " + recorder.accepted()
                    + " recorded orders kept; repaired within " + repair.toMillis()
                    + " ms; an empty and a lagging replica alone accepted nothing";
        }
    }

    /** Waits until a member set that contains the replica with a new incarnation is committed. */
    private static Duration awaitRepair(Deployment deployment, String wiped, String lostVoterId, String observer)
            throws Exception {
        return Waiting.until("a member set with " + wiped + " under a new incarnation", REPAIR_LIMIT, () -> {
            String currentVoterId = voterId(deployment, wiped, observer);
            return !currentVoterId.isEmpty() && !currentVoterId.equals(lostVoterId);
        });
    }

    /** Returns the replica with its incarnation from the latest member set logged; empty if it is not a voter. */
    private static String voterId(Deployment deployment, String replica, String observer) throws IOException {
        String latest = "";
        for (String line : deployment.log(observer)) {
            if (line.contains(LogEvent.MEMBERS_CHANGED.toString())) {
                Matcher matcher = Pattern.compile(replica + "#[0-9a-f]+").matcher(line);
                latest = matcher.find() ? matcher.group() : "";
            }
        }
        return latest;
    }

    private static void delete(Path folder) throws IOException {
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.delete(file);
            }
        }
    }

    /** Makes changes and records those that were accepted. Used by one thread. */
    private static final class ChangeRecorder {
        private final Deployment deployment;
        private final RuleText rules;
        private final LoadClient load = new LoadClient();
        private final List<Exchange> orders = new ArrayList<>();
        private long revision = 1;

        ChangeRecorder(Deployment deployment, RuleText rules) {
            this.deployment = deployment;
            this.rules = rules;
        }

        int accepted() {
            return orders.size();
        }

        /** Replaces the rules and sends an order, the given number of times. */
        void change(int times) throws Exception {
            for (int change = 0; change < times; change++) {
                String text = rules.text("change-" + (revision + 1));
                Waiting.until(
                        "revision " + (revision + 1) + " accepted",
                        CHANGE_LIMIT,
                        () -> deployment
                                .operator()
                                .replace(deployment.address(ENTRY_INSTANCE), revision, text)
                                .ok());
                revision++;
                Call order = Calls.order(ACCOUNT, "order-" + revision, DEADLINE);
                Waiting.until("a response to an order", CHANGE_LIMIT, () -> {
                    Exchange response = load.send(deployment.address(ENTRY_INSTANCE), order);
                    if (response.ok()) {
                        orders.add(response);
                    }
                    return response.ok();
                });
            }
        }

        /** Fails if the wiped and the lagging replica accept a change while the only up-to-date replica is down. */
        void requireNoChange() throws Exception {
            for (long expected = revision - CHANGES; expected <= revision; expected++) {
                Exchange response = deployment
                        .operator()
                        .replace(deployment.address(ENTRY_INSTANCE), expected, rules.text("usurper-" + expected));
                ScenarioFailure.unless(!response.ok(), "no change without the accepted revisions", response.describe());
                if (!response.errorCode().equals("REVISION_CONFLICT")) {
                    return;
                }
            }
            throw new ScenarioFailure("no result from a control log without a majority", "conflicts");
        }

        /** Fails unless the latest revision is in force and every resent order receives its recorded response. */
        void verify(List<String> instances) throws Exception {
            deployment.awaitRevision(revision, instances, CHANGE_LIMIT);
            Exchange inForce = deployment.operator().rules(deployment.address(ENTRY_INSTANCE));
            ScenarioFailure.unless(
                    inForce.json().path("revision").asLong() == revision
                            && inForce.json().path("text").asText().equals(rules.text("change-" + revision)),
                    "the text of revision " + revision,
                    inForce.describe());
            for (Exchange order : orders) {
                Exchange again = load.send(deployment.address("entry-5"), order.call());
                ScenarioFailure.unless(
                        again.ok() && again.body().equals(order.body()),
                        "the response " + order.body(),
                        again.describe());
            }
            Executions executions = Executions.of(deployment.targetState("ledger-1"));
            for (Exchange order : orders) {
                int count = executions.of(order.call());
                ScenarioFailure.unless(
                        count == 1, "one execution of " + order.call().body(), count);
            }
        }
    }
}
