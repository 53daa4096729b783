package org.basilrill.scaffold.measure;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.target.AnnouncementCodec;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/**
 * Measures how the number of models in the rules affects the cost of each instance and each change, and how the number
 * of targets affects the instance that they announce themselves to and the other instances. Not thread safe.
 */
final class StateSizeMeasurement {
    private static final int REPLICAS = 3;
    /** Index of the instance that receives the rules and the announcements; like the next one, it is not a replica. */
    private static final int RECEIVING_INSTANCE = 3;

    private static final int OTHER_INSTANCE = 4;
    private static final int[] MODELS = {100, 400, 800, 1500};
    private static final int[] TARGETS = {0, 50, 100, 200};
    private static final int CHANGES = 5;
    private static final int MODELS_PER_TARGET = 4;
    private static final int WINDOW_SECONDS = 6;
    private static final int WARM_UP_SECONDS = 12;
    private static final int SETTLE_SECONDS = 4;
    private static final long PERIOD_MILLIS = 500;
    private static final double MEBIBYTE = 1 << 20;
    private static final double PERCENT_TO_MICROSECONDS = 1e4;

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final LocalDeployment deployment;
    private final Report report;
    private volatile int announcingTargets = TARGETS[TARGETS.length - 1];

    private StateSizeMeasurement(LocalDeployment deployment, Report report) {
        this.deployment = deployment;
        this.report = report;
    }

    static Report run(long seed) throws IOException, InterruptedException {
        Report report = new Report("state-size", seed);
        report.addSetting("replicas", REPLICAS);
        report.addSetting("instances", OTHER_INSTANCE + 1);
        report.addSetting("models per target", MODELS_PER_TARGET);
        report.addSetting("announcement period ms", PERIOD_MILLIS);
        report.addSetting("window_s", WINDOW_SECONDS);
        for (boolean ofTargets : new boolean[] {false, true}) {
            try (LocalDeployment deployment = new LocalDeployment(OTHER_INSTANCE + 1, REPLICAS)) {
                StateSizeMeasurement measurement = new StateSizeMeasurement(deployment, report);
                if (ofTargets) {
                    measurement.measureTargets();
                } else {
                    measurement.measureModels();
                }
            }
        }
        return report;
    }

    private void measureModels() throws IOException, InterruptedException {
        Report.Table table = report.addTable(
                "Models in the rules",
                "models",
                "rules KiB",
                "apply to in force everywhere, median ms (lowest to highest)",
                "control bytes sent by all for each change, KiB",
                "live heap of an entry instance MiB",
                "live heap of the leader MiB",
                "data folder KiB");
        List<Double> counts = new ArrayList<>();
        List<Double> heaps = new ArrayList<>();
        long revision = 0;
        for (int models : MODELS) {
            List<Double> times = new ArrayList<>();
            double rulesBytes = 0;
            long bytes = controlBytes();
            for (int change = 0; change < CHANGES; change++) {
                String rules = rules(models, revision);
                rulesBytes = rules.length();
                long begin = System.nanoTime();
                deployment.applyRules(RECEIVING_INSTANCE, revision, rules);
                revision++;
                for (int index = 0; index < deployment.size(); index++) {
                    deployment.awaitRevision(index, revision);
                }
                times.add((System.nanoTime() - begin) / 1e6);
            }
            double perChange = (controlBytes() - bytes) / 1024.0 / CHANGES;
            int leader = deployment.leader();
            counts.add((double) models);
            heaps.add(ProcessUsage.liveHeapBytes(deployment.processId(RECEIVING_INSTANCE)) / 1024.0);
            table.addRow(
                    models,
                    rulesBytes / 1024,
                    Report.medianAndRange(times),
                    perChange,
                    heaps.get(heaps.size() - 1) / 1024,
                    ProcessUsage.liveHeapBytes(deployment.processId(leader)) / MEBIBYTE,
                    deployment.dataBytes(leader) / 1024);
        }
        report.addTable("Slope over the models", "live heap of an entry instance, KiB for each model")
                .addRow(Report.slope(counts, heaps));
    }

    private void measureTargets() throws InterruptedException, IOException {
        Report.Table table = report.addTable(
                "Targets that announce themselves to one instance",
                "targets",
                "announcements/s",
                "home core %",
                "other instance core %",
                "home membership bytes sent/s",
                "other instance membership bytes sent/s",
                "home live heap MiB",
                "other instance live heap MiB");
        deployment.applyRules(RECEIVING_INSTANCE, 0, LocalDeployment.rules(5, 1));
        ScheduledExecutorService senders = Executors.newScheduledThreadPool(4);
        List<Double> rates = new ArrayList<>();
        List<Double> counts = new ArrayList<>();
        List<Double> coreShares = new ArrayList<>();
        List<Double> bytes = new ArrayList<>();
        List<Double> heaps = new ArrayList<>();
        AtomicLong acceptedCount = new AtomicLong();
        try {
            for (int target = 0; target < announcingTargets; target++) {
                int number = target;
                senders.scheduleAtFixedRate(
                        () -> announce(number, acceptedCount),
                        number * PERIOD_MILLIS / announcingTargets,
                        PERIOD_MILLIS,
                        TimeUnit.MILLISECONDS);
            }
            TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
            for (int count : TARGETS) {
                announcingTargets = count;
                // Waits until the targets of the previous size have expired.
                TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
                ProcessUsage receivingUsage = deployment.usage(RECEIVING_INSTANCE);
                ProcessUsage otherUsage = deployment.usage(OTHER_INSTANCE);
                long acceptedBefore = acceptedCount.get();
                long receivingBytes = membershipBytes(RECEIVING_INSTANCE);
                long otherBytes = membershipBytes(OTHER_INSTANCE);
                TimeUnit.SECONDS.sleep(WINDOW_SECONDS);
                counts.add((double) count);
                rates.add((acceptedCount.get() - acceptedBefore) / (double) WINDOW_SECONDS);
                coreShares.add(deployment.usage(RECEIVING_INSTANCE).corePercentSince(receivingUsage));
                bytes.add((membershipBytes(RECEIVING_INSTANCE) - receivingBytes) / (double) WINDOW_SECONDS);
                double otherShare = deployment.usage(OTHER_INSTANCE).corePercentSince(otherUsage);
                heaps.add(ProcessUsage.liveHeapBytes(deployment.processId(OTHER_INSTANCE)) / 1024.0);
                int last = counts.size() - 1;
                table.addRow(
                        count,
                        rates.get(last),
                        coreShares.get(last),
                        otherShare,
                        bytes.get(last),
                        (membershipBytes(OTHER_INSTANCE) - otherBytes) / (double) WINDOW_SECONDS,
                        ProcessUsage.liveHeapBytes(deployment.processId(RECEIVING_INSTANCE)) / MEBIBYTE,
                        heaps.get(last) / 1024);
            }
        } finally {
            senders.shutdown();
        }
        report.addTable(
                        "Slopes over the targets",
                        "microseconds of processor time at the home for each announcement",
                        "membership bytes/s sent by the home for each target",
                        "live heap of another instance, KiB for each target")
                .addRow(
                        Report.slope(rates, coreShares) * PERCENT_TO_MICROSECONDS,
                        Report.slope(counts, bytes),
                        Report.slope(counts, heaps));
    }

    private void announce(int number, AtomicLong acceptedCount) {
        if (number >= announcingTargets) {
            return;
        }
        HttpRequest request = HttpRequest.newBuilder(
                        URI.create("http://" + deployment.address(RECEIVING_INSTANCE) + "/v1/targets/announce"))
                .header("Content-Type", "application/json")
                .POST(HttpRequest.BodyPublishers.ofByteArray(AnnouncementCodec.write(announcement(number))))
                .build();
        client.sendAsync(request, HttpResponse.BodyHandlers.discarding())
                .thenAccept(response -> acceptedCount.addAndGet(response.statusCode() == 200 ? 1 : 0));
    }

    private static TargetAnnouncement announcement(int number) {
        Map<ModelId, LoadedModel> contents = new TreeMap<>();
        for (int model = 0; model < MODELS_PER_TARGET; model++) {
            contents.put(
                    new ModelId("model-" + (number * MODELS_PER_TARGET + model)), new LoadedModel(1, 1L << 30, true));
        }
        // Changes the load with each announcement, as under traffic.
        int running = (int) (System.nanoTime() / TimeUnit.MILLISECONDS.toNanos(PERIOD_MILLIS) % 32);
        return new TargetAnnouncement(
                new TargetId("engine-" + number),
                1,
                System.nanoTime(),
                "127.0.0.1",
                9,
                "dc-1",
                Optional.empty(),
                2000,
                16L << 30,
                contents,
                Set.of(TargetAnnouncement.Role.values()),
                32,
                new TargetAnnouncement.Load(running, 0),
                true,
                false,
                Optional.empty(),
                0);
    }

    private static String rules(int models, long number) {
        StringBuilder rules = new StringBuilder(LocalDeployment.rules(5, number));
        for (int model = 0; model < models; model++) {
            rules.append(String.format(
                    "model model-%d memory 12GiB copies 1..4 version %d # asked by measurement%n", model, number + 1));
        }
        return rules.toString();
    }

    private long controlBytes() throws IOException, InterruptedException {
        long sum = 0;
        for (int index = 0; index < deployment.size(); index++) {
            JsonNode counters = deployment.getJson(index, "/metrics").path("counters");
            sum += counters.path("peer.sent.control.bytes").path("count").asLong()
                    + counters.path("peer.sent.consensus.bytes").path("count").asLong();
        }
        return sum;
    }

    private long membershipBytes(int index) throws IOException, InterruptedException {
        return deployment
                .getJson(index, "/metrics")
                .path("counters")
                .path("peer.sent.membership.bytes")
                .path("count")
                .asLong();
    }
}
