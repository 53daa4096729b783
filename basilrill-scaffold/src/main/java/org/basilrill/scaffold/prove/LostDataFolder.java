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
import org.basilrill.scaffold.prove.Deployment.Shape;
import org.basilrill.scaffold.prove.Exchange.Call;
import org.basilrill.scaffold.prove.ProcessGroup.Signal;

/**
 * Deletes the data folder of a replica that is down and loses a second replica right after the repair; then deletes a
 * folder while only a lagging replica is left. Nothing accepted may be lost.
 */
final class LostDataFolder implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    private static final String OBSERVER = "entry-4";
    private static final int CHANGES = 12;
    private static final Duration DEADLINE = Duration.ofSeconds(5);
    private static final Duration REPAIR = Duration.ofSeconds(30);
    private static final Duration RETURN = Duration.ofSeconds(20);
    /** Many election timeouts; a leader without the accepted entries would have been elected by then. */
    private static final int SEVERAL_ELECTIONS_MILLIS = 5000;

    @Override
    public String name() {
        return "lost-data-folder";
    }

    @Override
    public String run(Laboratory laboratory, Random random) throws Exception {
        try (Deployment deployment = new Deployment(laboratory, Shape.of(5))) {
            deployment.startTarget("ledger-1", deployment.instances(), "--service", RuleText.SERVICE);
            RuleText rules = new RuleText().account(ACCOUNT);
            deployment.start(rules.text("first"));
            deployment.awaitService(Calls.lookup(ACCOUNT, "warm"), List.of(OBSERVER, "entry-5"));
            Ledger ledger = new Ledger(deployment, rules);
            List<String> replicas = new ArrayList<>(deployment.replicas());
            Collections.shuffle(replicas, random);
            String wiped = replicas.get(0);
            String second = replicas.get(1);
            String third = replicas.get(2);

            ledger.change(CHANGES);
            String lost = voter(deployment, wiped, third);
            deployment.kill(wiped);
            delete(deployment.dataFolder(wiped));
            ledger.change(CHANGES);
            deployment.startInstance(wiped);
            Duration repair = awaitRepair(deployment, wiped, lost, third);
            deployment.kill(second);
            ledger.change(CHANGES);
            ledger.verify(List.of(OBSERVER, "entry-5"));
            deployment.startInstance(second);
            deployment.awaitReady(second);

            deployment.signal(third, Signal.STOP);
            ledger.change(CHANGES);
            deployment.kill(wiped);
            deployment.kill(second);
            delete(deployment.dataFolder(wiped));
            deployment.signal(third, Signal.CONT);
            deployment.startInstance(wiped);
            Waiting.millis(SEVERAL_ELECTIONS_MILLIS);
            ledger.requireNoChange();
            deployment.startInstance(second);
            deployment.awaitReady(second);
            ledger.change(CHANGES);
            ledger.verify(deployment.instances());
            return ledger.accepted() + " revisions and " + ledger.accepted()
                    + " recorded orders kept; repaired within " + repair.toMillis()
                    + " ms; an empty and a lagging replica alone accepted nothing";
        }
    }

    /** Waits until a member set that holds the replica under a new incarnation was committed. */
    private static Duration awaitRepair(Deployment deployment, String wiped, String lost, String observer)
            throws Exception {
        return Waiting.until("a member set with " + wiped + " under a new incarnation", REPAIR, () -> {
            String voter = voter(deployment, wiped, observer);
            return !voter.isEmpty() && !voter.equals(lost);
        });
    }

    /** Returns the replica with its incarnation as in the latest member set in a log; empty if it is not a voter. */
    private static String voter(Deployment deployment, String replica, String observer) throws IOException {
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

    /** Makes changes and knows which were accepted. Used by one thread. */
    private static final class Ledger {
        private final Deployment deployment;
        private final RuleText rules;
        private final LoadClient load = new LoadClient();
        private final List<Exchange> orders = new ArrayList<>();
        private long revision = 1;

        Ledger(Deployment deployment, RuleText rules) {
            this.deployment = deployment;
            this.rules = rules;
        }

        int accepted() {
            return orders.size();
        }

        /** Replaces the rules and runs an order, several times. */
        void change(int times) throws Exception {
            for (int change = 0; change < times; change++) {
                String text = rules.text("change-" + (revision + 1));
                Waiting.until(
                        "revision " + (revision + 1) + " accepted",
                        RETURN,
                        () -> deployment
                                .operator()
                                .replace(deployment.address(OBSERVER), revision, text)
                                .ok());
                revision++;
                Call order = Calls.order(ACCOUNT, "order-" + revision, DEADLINE);
                Waiting.until("an answer to an order", RETURN, () -> {
                    Exchange answer = load.send(deployment.address(OBSERVER), order);
                    if (answer.ok()) {
                        orders.add(answer);
                    }
                    return answer.ok();
                });
            }
        }

        /** Fails if a replica that lost its data and one that lags accepted a change by themselves. */
        void requireNoChange() throws Exception {
            for (long expected = revision - CHANGES; expected <= revision; expected++) {
                Exchange answer = deployment
                        .operator()
                        .replace(deployment.address(OBSERVER), expected, rules.text("usurper-" + expected));
                ProofFailure.unless(!answer.ok(), "no change without the accepted revisions", answer.describe());
                if (!answer.code().equals("REVISION_CONFLICT")) {
                    return;
                }
            }
            throw new ProofFailure("no answer of a control log without a majority", "conflicts");
        }

        /** Fails unless the latest revision is in force and every recorded answer is given again. */
        void verify(List<String> instances) throws Exception {
            deployment.awaitRevision(revision, instances, RETURN);
            Exchange inForce = deployment.operator().rules(deployment.address(OBSERVER));
            ProofFailure.unless(
                    inForce.json().path("revision").asLong() == revision
                            && inForce.json().path("text").asText().equals(rules.text("change-" + revision)),
                    "the text of revision " + revision,
                    inForce.describe());
            for (Exchange order : orders) {
                Exchange again = load.send(deployment.address("entry-5"), order.call());
                ProofFailure.unless(
                        again.ok() && again.body().equals(order.body()),
                        "the answer " + order.body(),
                        again.describe());
            }
            Executions executions = Executions.of(deployment.targetState("ledger-1"));
            for (Exchange order : orders) {
                int count = executions.of(order.call());
                ProofFailure.unless(
                        count == 1, "one execution of " + order.call().body(), count);
            }
        }
    }
}
