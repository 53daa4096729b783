package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import org.basilrill.scaffold.prove.Deployment.Shape;
import org.basilrill.scaffold.prove.Exchange.Call;

/** Kills instances while orders run and are resent elsewhere: each order runs at most once, and not_run is true. */
final class KilledDuringOrders implements Scenario {
    private static final String ACCOUNT = "parish-desk";
    private static final int CALLERS = 12;
    private static final int KILLS = 6;
    private static final int MOST_SENDS = 6;
    private static final Duration DEADLINE = Duration.ofSeconds(3);

    @Override
    public String name() {
        return "killed-during-orders";
    }

    @Override
    public String run(Laboratory laboratory, Random random) throws Exception {
        try (Deployment deployment = new Deployment(laboratory, Shape.of(5))) {
            List<String> instances = deployment.instances();
            // An order takes long enough that a kill often hits it between its first byte and its recorded answer.
            deployment.startTarget(
                    "ledger-1", instances, "--service", RuleText.SERVICE, "--token-millis", "40", "--slots", "64");
            deployment.start(new RuleText().account(ACCOUNT).text("first"));
            deployment.awaitService(Calls.lookup(ACCOUNT, "warm"), instances);
            LoadClient load = new LoadClient();
            try (Crowd callers = new Crowd(CALLERS, random, (thread, own) -> caller(thread, own, load, deployment))) {
                for (int kill = 0; kill < KILLS; kill++) {
                    Waiting.millis(400 + random.nextInt(800));
                    String victim = instances.get(random.nextInt(instances.size()));
                    deployment.kill(victim);
                    Waiting.millis(200 + random.nextInt(300));
                    deployment.startInstance(victim);
                    deployment.awaitReady(victim);
                }
                callers.stop();
            }
            return judge(load.history(), Executions.of(deployment.targetState("ledger-1")));
        }
    }

    /** Resends until the answer is definite; some callers give up at once when nothing ran. */
    private static Crowd.Work caller(int thread, Random random, LoadClient load, Deployment deployment) {
        List<String> addresses = deployment.addresses();
        return count -> {
            Call call = Calls.order(ACCOUNT, "order-" + thread + "-" + count, DEADLINE);
            boolean patient = random.nextBoolean();
            for (int sends = 0; sends < MOST_SENDS; sends++) {
                Exchange exchange = load.send(addresses.get(random.nextInt(addresses.size())), call);
                boolean notRun = exchange.outcome().equals("not_run");
                if (exchange.ok() || exchange.code().equals("ORDER_OUTCOME_UNKNOWN") || notRun && !patient) {
                    break;
                }
                Waiting.millis(50);
            }
        };
    }

    private static String judge(List<Exchange> history, Executions executions) {
        Map<String, List<Exchange>> orders = new TreeMap<>();
        history.forEach(exchange -> orders.computeIfAbsent(exchange.call().body(), unused -> new ArrayList<>())
                .add(exchange));
        int resent = 0;
        int notRun = 0;
        int unanswered = 0;
        for (List<Exchange> sends : orders.values()) {
            Exchange last = sends.get(sends.size() - 1);
            int count = executions.of(last.call());
            ProofFailure.unless(
                    count <= 1, "at most one execution of " + last.call().body(), count + ", " + last.describe());
            boolean allNotRun = sends.stream().allMatch(send -> send.outcome().equals("not_run"));
            ProofFailure.unless(
                    !allNotRun || count == 0, "no execution, as every answer said not_run", last.describe());
            for (Exchange send : sends) {
                ProofFailure.unless(
                        !send.ok() || count == 1 && Calls.isWhole(send),
                        "the answer of one execution",
                        send.describe());
            }
            resent += sends.size() > 1 ? 1 : 0;
            notRun += allNotRun ? 1 : 0;
            unanswered += sends.stream().anyMatch(send -> !send.answered()) ? 1 : 0;
        }
        ProofFailure.unless(unanswered > 0 && resent > 0, "orders hit by a kill and resent", "none");
        return orders.size() + " orders, " + resent + " resent, " + unanswered + " cut by " + KILLS + " kills, "
                + notRun + " answered only not_run; none ran twice, every not_run was true";
    }
}
