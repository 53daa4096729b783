package org.basilrill.scaffold.measure;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * Measures, with one process per instance, the time from killing the leader to the next accepted change, the time until
 * a change is in force on all instances, the restart of a replica after many changes, and the cost of an idle instance.
 * Not thread safe.
 */
final class ControlChangeMeasurement {
    private static final int[] REPLICAS = {3, 5};
    private static final int ENTRY_INSTANCES = 3;
    private static final int LEADER_KILLS = 5;
    private static final int CHANGES_IN_FORCE = 20;
    private static final int[] CHANGES_BEFORE_RESTART = {10, 250, 500};
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
        report.addSetting("instances that are no replica", ENTRY_INSTANCES);
        report.addSetting("kills of the leader", LEADER_KILLS);
        report.addSetting("changes timed until in force", CHANGES_IN_FORCE);
        for (int replicas : REPLICAS) {
            try (LocalDeployment deployment = new LocalDeployment(replicas + ENTRY_INSTANCES, replicas)) {
                ControlChangeMeasurement measurement = new ControlChangeMeasurement(deployment, report, replicas);
                measurement.applyNextChange();
                measurement.measureIdle();
                measurement.measureTimeToInForce();
                measurement.measureRecovery();
                measurement.measureFailover();
            }
        }
        return report;
    }

    /** Applies the next rules through an instance that is not a replica; retries until they are accepted. */
    private void applyNextChange() throws InterruptedException {
        String rules = LocalDeployment.rules(ACCOUNTS, revision + 1);
        LocalDeployment.await("a change", () -> deployment.applyRules(replicas, revision, rules) == 200);
        revision++;
    }

    private void measureTimeToInForce() throws InterruptedException {
        List<Double> acceptedTimes = new ArrayList<>();
        List<Double> inForceTimes = new ArrayList<>();
        for (int repeat = 0; repeat < CHANGES_IN_FORCE; repeat++) {
            long begin = System.nanoTime();
            applyNextChange();
            acceptedTimes.add(millisSince(begin));
            for (int index = 0; index < deployment.size(); index++) {
                deployment.awaitRevision(index, revision);
            }
            inForceTimes.add(millisSince(begin));
        }
        Report.Table table = report.addTable(
                "Time from apply, " + replicas + " replicas, " + deployment.size() + " instances",
                "until",
                "median ms (lowest to highest)",
                "part of the 6 s allowed, highest");
        table.addRow("accepted", Report.medianAndRange(acceptedTimes), highest(acceptedTimes) / 6000);
        table.addRow("in force on all instances", Report.medianAndRange(inForceTimes), highest(inForceTimes) / 6000);
    }

    private void measureFailover() throws IOException, InterruptedException {
        List<Double> failoverTimes = new ArrayList<>();
        List<Double> undisturbedTimes = new ArrayList<>();
        for (int repeat = 0; repeat < LEADER_KILLS; repeat++) {
            long before = System.nanoTime();
            applyNextChange();
            undisturbedTimes.add(millisSince(before));
            int leader = deployment.leader();
            long begin = System.nanoTime();
            deployment.kill(leader);
            applyNextChange();
            failoverTimes.add(millisSince(begin));
            deployment.restart(leader);
            deployment.awaitReady(leader);
            deployment.awaitRevision(leader, revision);
        }
        Report.Table table = report.addTable(
                "SIGKILL of the leader to the next accepted change, " + replicas + " replicas",
                "median ms (lowest to highest)",
                "change without a kill ms",
                "ratio");
        table.addRow(
                Report.medianAndRange(failoverTimes),
                Report.medianAndRange(undisturbedTimes),
                Report.median(failoverTimes) / Report.median(undisturbedTimes));
    }

    private void measureRecovery() throws IOException, InterruptedException {
        Report.Table table = report.addTable(
                "Restart of a killed follower to readiness at the current revision, " + replicas + " replicas",
                "changes of rules before",
                "ms (3 restarts)",
                "data folder KiB");
        for (int changes : CHANGES_BEFORE_RESTART) {
            while (revision < changes) {
                applyNextChange();
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
            table.addRow(changes, Report.medianAndRange(times), deployment.dataBytes(follower) / 1024);
        }
    }

    private void measureIdle() throws IOException, InterruptedException {
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        int leader = deployment.leader();
        List<ProcessUsage> before = new ArrayList<>();
        for (int index = 0; index < deployment.size(); index++) {
            before.add(deployment.usage(index));
        }
        TimeUnit.SECONDS.sleep(IDLE_SECONDS);
        Report.Table table = report.addTable(
                "Idle, " + replicas + " replicas, " + deployment.size() + " instances, 5 to 10 s after the start",
                "instance",
                "core %",
                "live heap MiB",
                "resident MiB",
                "threads");
        for (int index = 0; index < deployment.size(); index++) {
            ProcessUsage usage = deployment.usage(index);
            String role = deployment.isReplica(index) ? "follower" : "entry only";
            table.addRow(
                    index == leader ? "leader" : role,
                    usage.corePercentSince(before.get(index)),
                    ProcessUsage.liveHeapBytes(deployment.processId(index)) / (double) (1 << 20),
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
