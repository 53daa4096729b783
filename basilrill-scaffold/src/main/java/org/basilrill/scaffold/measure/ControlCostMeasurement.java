package org.basilrill.scaffold.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.http.HttpRequest;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.function.ToDoubleFunction;
import org.basilrill.api.PeerSubject;

/**
 * Measures the cost of control per instance in deployments of several sizes, idle and with light traffic: processor
 * share, memory, and bytes between instances by subject. Not thread safe.
 */
final class ControlCostMeasurement {
    private static final int[] SIZES = {3, 6, 12, 24};
    private static final int REPLICAS = 3;
    private static final int WINDOW_SECONDS = 10;
    /** Close to the design scale, where 3,000 requests/s on 360 instances are 8.3 requests/s each. */
    private static final int REQUESTS_PER_INSTANCE = 10;

    private static final int TOKENS = 16;
    private static final String LEADER = "leader";
    private static final String FOLLOWER = "follower";
    private static final String ENTRY = "entry only";

    private final LocalDeployment deployment;
    private final Report.Table costTable;
    private final Report.Table bytesTable;

    private ControlCostMeasurement(LocalDeployment deployment, Report.Table costTable, Report.Table bytesTable) {
        this.deployment = deployment;
        this.costTable = costTable;
        this.bytesTable = bytesTable;
    }

    static Report run(long seed) throws IOException, InterruptedException, ExecutionException {
        Report report = new Report("control-cost", seed);
        report.addSetting("replicas", REPLICAS);
        report.addSetting("window_s", WINDOW_SECONDS);
        report.addSetting("requests/s per instance with traffic", REQUESTS_PER_INSTANCE);
        report.addSetting("tokens per request", TOKENS);
        Report.Table costTable = report.addTable(
                "Processor and memory, mean over the instances of a role",
                "instances",
                "traffic",
                "role",
                "core %",
                "live heap MiB",
                "resident MiB",
                "threads",
                "sent bytes/s",
                "received bytes/s",
                "messages sent/s");
        Report.Table bytesTable = report.addTable(
                "Sent bytes/s by subject, mean over the instances of a role",
                "instances",
                "traffic",
                "role",
                "consensus",
                "control",
                "membership",
                "budget");
        for (int size : SIZES) {
            try (LocalDeployment deployment = new LocalDeployment(size, REPLICAS)) {
                new ControlCostMeasurement(deployment, costTable, bytesTable).measure();
            }
        }
        return report;
    }

    private void measure() throws IOException, InterruptedException, ExecutionException {
        deployment.startTarget(
                "--name", "engine-1", "--models", "medal-match", "--token-millis", "1", "--slots", "512");
        deployment.applyRules(0, 0, LocalDeployment.rules(5, 1));
        for (int index = 0; index < deployment.size(); index++) {
            deployment.awaitRevision(index, 1);
        }
        // Excludes start-up work, such as JIT compilation, from the idle cost.
        TimeUnit.SECONDS.sleep(WINDOW_SECONDS);
        measureWindow("idle");
        CompletableFuture<Long> traffic = CompletableFuture.supplyAsync(this::sendTraffic);
        TimeUnit.SECONDS.sleep(2);
        measureWindow("traffic");
        costTable.addRow(
                deployment.size(), "traffic", "failed requests: " + traffic.get(), "-", "-", "-", "-", "-", "-", "-");
    }

    private long sendTraffic() {
        List<CompletableFuture<Long>> failedByInstance = new ArrayList<>();
        for (int index = 0; index < deployment.size(); index++) {
            HttpRequest request = LoadCaller.request(deployment.address(index), "/v1/chat/completions", TOKENS);
            failedByInstance.add(
                    CompletableFuture.supplyAsync(() -> sendTraffic(request), command -> new Thread(command).start()));
        }
        return failedByInstance.stream().mapToLong(CompletableFuture::join).sum();
    }

    private static long sendTraffic(HttpRequest request) {
        try (LoadCaller caller = new LoadCaller()) {
            return caller.run(request, REQUESTS_PER_INSTANCE, Duration.ofSeconds(WINDOW_SECONDS + 3))
                    .failed();
        } catch (InterruptedException | ExecutionException exception) {
            throw new IllegalStateException("the traffic generator failed or was interrupted", exception);
        }
    }

    private void measureWindow(String traffic) throws IOException, InterruptedException {
        List<Sample> before = takeSamples();
        TimeUnit.SECONDS.sleep(WINDOW_SECONDS);
        List<Sample> after = takeSamples();
        int leader = deployment.leader();
        Map<String, List<SampleInterval>> roles = new LinkedHashMap<>();
        for (int index = 0; index < deployment.size(); index++) {
            String role = deployment.isReplica(index) ? FOLLOWER : ENTRY;
            roles.computeIfAbsent(index == leader ? LEADER : role, name -> new ArrayList<>())
                    .add(new SampleInterval(
                            before.get(index),
                            after.get(index),
                            ProcessUsage.liveHeapBytes(deployment.processId(index)) / (double) (1 << 20)));
        }
        roles.forEach((role, intervals) -> {
            costTable.addRow(
                    deployment.size(),
                    traffic,
                    role,
                    mean(
                            intervals,
                            interval -> interval.after()
                                    .usage()
                                    .corePercentSince(interval.before().usage())),
                    mean(intervals, SampleInterval::liveHeapMebibytes),
                    mean(intervals, interval -> interval.after().usage().residentMebibytes()),
                    mean(intervals, interval -> interval.after().usage().threads()),
                    mean(intervals, interval -> interval.perSecond("sent", "bytes")),
                    mean(intervals, interval -> interval.perSecond("received", "bytes")),
                    mean(intervals, interval -> interval.perSecond("sent", "messages")));
            bytesTable.addRow(
                    deployment.size(),
                    traffic,
                    role,
                    mean(intervals, interval -> interval.perSecond("sent", PeerSubject.CONSENSUS, "bytes")),
                    mean(intervals, interval -> interval.perSecond("sent", PeerSubject.CONTROL, "bytes")),
                    mean(intervals, interval -> interval.perSecond("sent", PeerSubject.MEMBERSHIP, "bytes")),
                    mean(intervals, interval -> interval.perSecond("sent", PeerSubject.BUDGET, "bytes")));
        });
    }

    private List<Sample> takeSamples() throws IOException, InterruptedException {
        List<Sample> samples = new ArrayList<>();
        for (int index = 0; index < deployment.size(); index++) {
            samples.add(new Sample(deployment.usage(index), deployment.getJson(index, "/metrics")));
        }
        return samples;
    }

    private static double mean(List<SampleInterval> intervals, ToDoubleFunction<SampleInterval> value) {
        return intervals.stream().mapToDouble(value).average().orElseThrow();
    }

    /** Process usage and metrics of an instance at one point in time. */
    private record Sample(ProcessUsage usage, JsonNode metrics) {
        long counter(String direction, PeerSubject subject, String unit) {
            String name = "peer." + direction + "." + subject.name().toLowerCase(Locale.ROOT) + "." + unit;
            return metrics.path("counters").path(name).path("count").asLong();
        }
    }

    /** Two samples of an instance, and its live heap at the end. */
    private record SampleInterval(Sample before, Sample after, double liveHeapMebibytes) {
        double perSecond(String direction, PeerSubject subject, String unit) {
            double seconds = (after.usage().atNanos() - before.usage().atNanos()) / 1e9;
            return (after.counter(direction, subject, unit) - before.counter(direction, subject, unit)) / seconds;
        }

        double perSecond(String direction, String unit) {
            double sum = 0;
            for (PeerSubject subject : PeerSubject.values()) {
                sum += perSecond(direction, subject, unit);
            }
            return sum;
        }
    }
}
