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
 * Measures what control costs each instance at several sizes, idle and with light traffic: processor share, memory, and
 * bytes between instances by subject. Not thread safe.
 */
final class ControlCostMeasurement {
    private static final int[] SIZES = {3, 6, 12, 24};
    private static final int REPLICAS = 3;
    private static final int WINDOW_SECONDS = 10;
    /** Near the 8.3 requests/s that each of 360 nodes gets at 3,000 requests/s. */
    private static final int REQUESTS_PER_INSTANCE = 10;

    private static final int TOKENS = 16;
    private static final String LEADER = "leader";
    private static final String FOLLOWER = "follower";
    private static final String ENTRY = "entry only";

    private final LocalDeployment deployment;
    private final Report.Table cost;
    private final Report.Table bytes;

    private ControlCostMeasurement(LocalDeployment deployment, Report.Table cost, Report.Table bytes) {
        this.deployment = deployment;
        this.cost = cost;
        this.bytes = bytes;
    }

    static Report run(long seed) throws IOException, InterruptedException, ExecutionException {
        Report report = new Report("control-cost", seed);
        report.setting("replicas", REPLICAS);
        report.setting("window_s", WINDOW_SECONDS);
        report.setting("requests/s per instance with traffic", REQUESTS_PER_INSTANCE);
        report.setting("tokens per request", TOKENS);
        Report.Table cost = report.table(
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
        Report.Table bytes = report.table(
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
                new ControlCostMeasurement(deployment, cost, bytes).measure();
            }
        }
        return report;
    }

    private void measure() throws IOException, InterruptedException, ExecutionException {
        deployment.startTarget(
                "--name", "engine-1", "--models", "medal-match", "--token-millis", "1", "--slots", "512");
        deployment.apply(0, 0, LocalDeployment.rules(5, 1));
        for (int index = 0; index < deployment.size(); index++) {
            deployment.awaitRevision(index, 1);
        }
        // Start-up work, such as compilation, is not part of the idle cost.
        TimeUnit.SECONDS.sleep(WINDOW_SECONDS);
        window("idle");
        CompletableFuture<Long> traffic = CompletableFuture.supplyAsync(this::traffic);
        TimeUnit.SECONDS.sleep(2);
        window("traffic");
        cost.row(deployment.size(), "traffic", "failed requests: " + traffic.get(), "-", "-", "-", "-", "-", "-", "-");
    }

    private long traffic() {
        List<CompletableFuture<Long>> failed = new ArrayList<>();
        for (int index = 0; index < deployment.size(); index++) {
            HttpRequest request = LoadCaller.request(deployment.address(index), "/v1/chat/completions", TOKENS);
            failed.add(CompletableFuture.supplyAsync(() -> traffic(request), command -> new Thread(command).start()));
        }
        return failed.stream().mapToLong(CompletableFuture::join).sum();
    }

    private static long traffic(HttpRequest request) {
        try (LoadCaller caller = new LoadCaller()) {
            return caller.run(request, REQUESTS_PER_INSTANCE, Duration.ofSeconds(WINDOW_SECONDS + 3))
                    .failed();
        } catch (InterruptedException | ExecutionException exception) {
            throw new IllegalStateException("the traffic stopped", exception);
        }
    }

    private void window(String traffic) throws IOException, InterruptedException {
        List<Sample> before = samples();
        TimeUnit.SECONDS.sleep(WINDOW_SECONDS);
        List<Sample> after = samples();
        int leader = deployment.leader();
        Map<String, List<Change>> roles = new LinkedHashMap<>();
        for (int index = 0; index < deployment.size(); index++) {
            String role = deployment.isReplica(index) ? FOLLOWER : ENTRY;
            roles.computeIfAbsent(index == leader ? LEADER : role, name -> new ArrayList<>())
                    .add(new Change(
                            before.get(index),
                            after.get(index),
                            ProcessUsage.liveHeapBytes(deployment.process(index)) / (double) (1 << 20)));
        }
        roles.forEach((role, changes) -> {
            cost.row(
                    deployment.size(),
                    traffic,
                    role,
                    mean(
                            changes,
                            change -> change.after()
                                    .usage()
                                    .corePercentSince(change.before().usage())),
                    mean(changes, Change::liveHeapMebibytes),
                    mean(changes, change -> change.after().usage().residentMebibytes()),
                    mean(changes, change -> change.after().usage().threads()),
                    mean(changes, change -> change.perSecond("sent", "bytes")),
                    mean(changes, change -> change.perSecond("received", "bytes")),
                    mean(changes, change -> change.perSecond("sent", "messages")));
            bytes.row(
                    deployment.size(),
                    traffic,
                    role,
                    mean(changes, change -> change.perSecond("sent", PeerSubject.CONSENSUS, "bytes")),
                    mean(changes, change -> change.perSecond("sent", PeerSubject.CONTROL, "bytes")),
                    mean(changes, change -> change.perSecond("sent", PeerSubject.MEMBERSHIP, "bytes")),
                    mean(changes, change -> change.perSecond("sent", PeerSubject.BUDGET, "bytes")));
        });
    }

    private List<Sample> samples() throws IOException, InterruptedException {
        List<Sample> samples = new ArrayList<>();
        for (int index = 0; index < deployment.size(); index++) {
            samples.add(new Sample(deployment.usage(index), deployment.json(index, "/metrics")));
        }
        return samples;
    }

    private static double mean(List<Change> changes, ToDoubleFunction<Change> value) {
        return changes.stream().mapToDouble(value).average().orElseThrow();
    }

    /** One reading of an instance. */
    private record Sample(ProcessUsage usage, JsonNode metrics) {
        long counter(String direction, PeerSubject subject, String unit) {
            String name = "peer." + direction + "." + subject.name().toLowerCase(Locale.ROOT) + "." + unit;
            return metrics.path("counters").path(name).path("count").asLong();
        }
    }

    /** Two readings of an instance. */
    private record Change(Sample before, Sample after, double liveHeapMebibytes) {
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
