package org.basilrill.scaffold.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures, with one process per instance: the time from killing the leader to the next accepted change, from a change
 * to its being in force on all instances, the restart of a replica after many changes, and what an idle replica costs.
 * Not thread safe.
 */
final class ControlChangeMeasurement {
    private static final int[] REPLICAS = {3, 5};
    private static final int ENTRIES = 3;
    private static final int REPEATS = 5;
    private static final int CHANGES_IN_FORCE = 20;
    private static final int[] CHANGES = {10, 250, 500};
    private static final int IDLE_SECONDS = 10;
    private static final int ACCOUNTS = 5;

    private final LocalDeployment deployment;
    private final Report report;
    private final int replicas;
    private long revision;

    private ControlChangeMeasurement(LocalDeployment deployment, Report report, int replicas) {
        this.deployment = deployment;
        this.report = report;
        this.replicas = replicas;
    }

    static Report run(long seed) throws IOException, InterruptedException {
        Report report = new Report("control-change", seed);
        report.setting("instances that are no replica", ENTRIES);
        report.setting("kills of the leader", REPEATS);
        report.setting("changes timed until in force", CHANGES_IN_FORCE);
        for (int replicas : REPLICAS) {
            try (LocalDeployment deployment = new LocalDeployment(replicas + ENTRIES, replicas)) {
                ControlChangeMeasurement measurement = new ControlChangeMeasurement(deployment, report, replicas);
                measurement.change();
                measurement.idle();
                measurement.inForce();
                measurement.recovery();
                measurement.failover();
            }
        }
        return report;
    }

    /** Makes one change through an instance that is no replica; repeats it until it is accepted. */
    private void change() throws InterruptedException {
        String rules = LocalDeployment.rules(ACCOUNTS, revision + 1);
        LocalDeployment.await("a change", () -> deployment.apply(replicas, revision, rules) == 200);
        revision++;
    }

    private void inForce() throws InterruptedException {
        List<Double> accepted = new ArrayList<>();
        List<Double> everywhere = new ArrayList<>();
        for (int repeat = 0; repeat < CHANGES_IN_FORCE; repeat++) {
            long begin = System.nanoTime();
            change();
            accepted.add(millisSince(begin));
            for (int index = 0; index < deployment.size(); index++) {
                deployment.awaitRevision(index, revision);
            }
            everywhere.add(millisSince(begin));
        }
        Report.Table table = report.table(
                "Time from apply, " + replicas + " replicas, " + deployment.size() + " instances",
                "until",
                "median ms (lowest to highest)",
                "part of the 6 s allowed, highest");
        table.row("accepted", Report.spread(accepted), highest(accepted) / 6000);
        table.row("in force on all instances", Report.spread(everywhere), highest(everywhere) / 6000);
    }

    private void failover() throws IOException, InterruptedException {
        List<Double> outages = new ArrayList<>();
        List<Double> ordinary = new ArrayList<>();
        for (int repeat = 0; repeat < REPEATS; repeat++) {
            long before = System.nanoTime();
            change();
            ordinary.add(millisSince(before));
            int leader = deployment.leader();
            long begin = System.nanoTime();
            deployment.kill(leader);
            change();
            outages.add(millisSince(begin));
            deployment.restart(leader);
            deployment.awaitReady(leader);
            deployment.awaitRevision(leader, revision);
        }
        Report.Table table = report.table(
                "SIGKILL of the leader to the next accepted change, " + replicas + " replicas",
                "median ms (lowest to highest)",
                "change without a kill ms",
                "ratio");
        table.row(Report.spread(outages), Report.spread(ordinary), Report.median(outages) / Report.median(ordinary));
    }

    private void recovery() throws IOException, InterruptedException {
        Report.Table table = report.table(
                "Restart of a killed follower to readiness at the current revision, " + replicas + " replicas",
                "changes of rules before",
                "ms (3 restarts)",
                "data folder KiB");
        for (int changes : CHANGES) {
            while (revision < changes) {
                change();
            }
            List<Double> times = new ArrayList<>();
            int follower = (deployment.leader() + 1) % replicas;
            for (int repeat = 0; repeat < 3; repeat++) {
                deployment.kill(follower);
                long begin = System.nanoTime();
                deployment.restart(follower);
                deployment.awaitReady(follower);
                deployment.awaitRevision(follower, revision);
                times.add(millisSince(begin));
            }
            table.row(changes, Report.spread(times), deployment.dataBytes(follower) / 1024);
        }
    }

    private void idle() throws IOException, InterruptedException {
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        int leader = deployment.leader();
        List<ProcessUsage> before = new ArrayList<>();
        for (int index = 0; index < deployment.size(); index++) {
            before.add(deployment.usage(index));
        }
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        Report.Table table = report.table(
                "Idle, " + replicas + " replicas, " + deployment.size() + " instances, 5 to 10 s after the start",
                "instance",
                "core %",
                "live heap MiB",
                "resident MiB",
                "threads");
        for (int index = 0; index < deployment.size(); index++) {
            ProcessUsage usage = deployment.usage(index);
            String role = deployment.isReplica(index) ? "follower" : "entry only";
            table.row(
                    index == leader ? "leader" : role,
                    usage.corePercentSince(before.get(index)),
                    ProcessUsage.liveHeapBytes(deployment.process(index)) / (double) (1 << 20),
                    usage.residentMebibytes(),
                    usage.threads());
        }
    }

    private static double highest(List<Double> values) {
        return values.stream().mapToDouble(value -> value).max().orElseThrow();
    }

    private static double millisSince(long begin) {
        return (System.nanoTime() - begin) / 1e6;
    }
}
