package org.basilrill.scaffold.measure;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import org.basilrill.scaffold.measure.LoadCaller.Result;

/**
 * Measures the latency that an entry instance adds to a direct call to the same fake target, its requests per second of
 * processor time, and the memory per idle connection and per open stream. Stateless.
 */
final class EntryMeasurement {
    /** Index of an instance that is not a replica, so that its figures exclude the cost of the control log. */
    private static final int ENTRY = 3;

    private static final int[] RATES = {250, 500, 1000, 2000};
    private static final int[] IDLE_CONNECTIONS = {0, 500, 1000, 2000};
    private static final int[] STREAMS = {0, 100, 200, 400};
    private static final int ROUNDS = 3;
    private static final int OBJECTIVE_RATE = 500;
    private static final Duration WARM_UP = Duration.ofSeconds(5);
    private static final Duration WINDOW = Duration.ofSeconds(3);
    private static final String SERVICE_PATH = "/v1/services/ledger/lots";
    private static final String COMPLETIONS_PATH = "/v1/chat/completions";

    private EntryMeasurement() {}

    static Report run(long seed) throws IOException, InterruptedException, ExecutionException {
        Report report = new Report("entry", seed);
        report.addSetting("rounds", ROUNDS);
        report.addSetting("window_s", WINDOW.toSeconds());
        report.addSetting("heap", "128 MiB, serial collector");
        try (LocalDeployment deployment = new LocalDeployment(ENTRY + 1, ENTRY);
                LoadCaller caller = new LoadCaller()) {
            String service = deployment.startTarget(
                    "--name", "ledger-1", "--service", "ledger", "--token-millis", "0", "--slots", "4096");
            String engine = deployment.startTarget(
                    "--name", "engine-1", "--models", "medal-match", "--token-millis", "0", "--slots", "4096");
            deployment.applyRules(0, 0, LocalDeployment.rules(5, 1));
            deployment.awaitRevision(ENTRY, 1);
            HttpRequest viaService = LoadCaller.request(deployment.address(ENTRY), SERVICE_PATH, 0);
            HttpRequest viaEngine = LoadCaller.request(deployment.address(ENTRY), COMPLETIONS_PATH, 1);
            awaitSuccess(viaService);
            awaitSuccess(viaEngine);
            HttpRequest directService = LoadCaller.request(service, "/lots", 0);
            HttpRequest directEngine = LoadCaller.request(engine, COMPLETIONS_PATH, 1);
            measureLatencies(report, caller, "plain service call", RATES, directService, viaService);
            measureLatencies(
                    report, caller, "first token of a stream", new int[] {OBJECTIVE_RATE}, directEngine, viaEngine);
            measureThroughput(report, caller, deployment, directService, viaService);
            measureIdleConnections(report, deployment);
        }
        measureStreams(report);
        return report;
    }

    private static void measureLatencies(
            Report report, LoadCaller caller, String kind, int[] rates, HttpRequest direct, HttpRequest via)
            throws InterruptedException, ExecutionException {
        Report.Table table = report.addTable(
                "Latency added by an entry instance, " + kind,
                "requests/s",
                "direct median ms",
                "via median ms",
                "direct p99 ms",
                "via p99 ms",
                "added median ms (rounds)",
                "added p99 ms (rounds)",
                "ratio of medians",
                "failed");
        caller.run(direct, OBJECTIVE_RATE, WARM_UP);
        caller.run(via, OBJECTIVE_RATE, WARM_UP);
        for (int rate : rates) {
            List<Double> directMedian = new ArrayList<>();
            List<Double> viaMedian = new ArrayList<>();
            List<Double> directPercentile99 = new ArrayList<>();
            List<Double> viaPercentile99 = new ArrayList<>();
            List<Double> addedMedian = new ArrayList<>();
            List<Double> addedPercentile99 = new ArrayList<>();
            long failed = 0;
            for (int round = 0; round < ROUNDS; round++) {
                Result directResult = caller.run(direct, rate, WINDOW);
                Result viaResult = caller.run(via, rate, WINDOW);
                directMedian.add(Report.percentileMillis(directResult.latenciesNanos(), 50));
                viaMedian.add(Report.percentileMillis(viaResult.latenciesNanos(), 50));
                directPercentile99.add(Report.percentileMillis(directResult.latenciesNanos(), 99));
                viaPercentile99.add(Report.percentileMillis(viaResult.latenciesNanos(), 99));
                addedMedian.add(viaMedian.get(round) - directMedian.get(round));
                addedPercentile99.add(viaPercentile99.get(round) - directPercentile99.get(round));
                failed += viaResult.failed();
            }
            table.addRow(
                    rate,
                    Report.median(directMedian),
                    Report.median(viaMedian),
                    Report.median(directPercentile99),
                    Report.median(viaPercentile99),
                    Report.medianAndRange(addedMedian),
                    Report.medianAndRange(addedPercentile99),
                    Report.median(viaMedian) / Report.median(directMedian),
                    failed);
        }
    }

    private static void measureThroughput(
            Report report, LoadCaller caller, LocalDeployment deployment, HttpRequest direct, HttpRequest via)
            throws InterruptedException, ExecutionException {
        Report.Table table = report.addTable(
                "Requests per second of processor time, plain service call, 16 callers without pause",
                "path",
                "requests/s (rounds)",
                "requests per core-second of the instance or target (rounds)");
        List<Double> viaRate = new ArrayList<>();
        List<Double> viaPerCore = new ArrayList<>();
        List<Double> directRate = new ArrayList<>();
        List<Double> directPerCore = new ArrayList<>();
        for (int round = 0; round < ROUNDS; round++) {
            measureAtFullRate(caller, direct, deployment.targetProcessId(0), directRate, directPerCore);
            measureAtFullRate(caller, via, deployment.processId(ENTRY), viaRate, viaPerCore);
        }
        table.addRow("direct", Report.medianAndRange(directRate), Report.medianAndRange(directPerCore));
        table.addRow("through an entry instance", Report.medianAndRange(viaRate), Report.medianAndRange(viaPerCore));
        table.addRow(
                "ratio",
                Report.median(viaRate) / Report.median(directRate),
                Report.median(viaPerCore) / Report.median(directPerCore));
    }

    private static void measureAtFullRate(
            LoadCaller caller, HttpRequest request, long processId, List<Double> rates, List<Double> perCore)
            throws InterruptedException, ExecutionException {
        ProcessUsage before = ProcessUsage.of(processId);
        Result result = caller.run(request, 0, WINDOW);
        ProcessUsage after = ProcessUsage.of(processId);
        rates.add(result.perSecond());
        perCore.add(result.latenciesNanos().getTotalCount()
                * 1e9
                / (after.processorTimeNanos() - before.processorTimeNanos()));
    }

    private static void measureIdleConnections(Report report, LocalDeployment deployment)
            throws IOException, InterruptedException {
        Report.Table table = memoryTable(report, "Idle connections, each after one answered request", "connections");
        List<Socket> sockets = new ArrayList<>();
        MemoryReadings memory = new MemoryReadings(table);
        for (int count : IDLE_CONNECTIONS) {
            while (sockets.size() < count) {
                sockets.add(openIdleConnection(deployment.address(ENTRY)));
            }
            TimeUnit.MILLISECONDS.sleep(500);
            memory.add(count, deployment.processId(ENTRY));
        }
        memory.addSlopeRow();
        for (Socket socket : sockets) {
            socket.close();
        }
    }

    private static Socket openIdleConnection(String address) throws IOException {
        Socket socket = new Socket();
        String[] parts = address.split(":");
        socket.connect(new InetSocketAddress(parts[0], Integer.parseInt(parts[1])));
        socket.getOutputStream()
                .write(("GET /healthz HTTP/1.1\r\nHost: " + address + "\r\n\r\n").getBytes(StandardCharsets.US_ASCII));
        if (socket.getInputStream().read() < 0) {
            throw new IOException("the instance closed a connection without a response");
        }
        return socket;
    }

    private static void measureStreams(Report report) throws IOException, InterruptedException {
        Report.Table table = memoryTable(report, "Open streams, one token each 200 ms", "streams");
        try (LocalDeployment deployment = new LocalDeployment(ENTRY + 1, ENTRY)) {
            deployment.startTarget(
                    "--name", "engine-1", "--models", "medal-match", "--token-millis", "200", "--slots", "4096");
            deployment.applyRules(0, 0, LocalDeployment.rules(5, 1));
            deployment.awaitRevision(ENTRY, 1);
            awaitSuccess(LoadCaller.request(deployment.address(ENTRY), COMPLETIONS_PATH, 1));
            HttpClient client =
                    HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
            HttpRequest request = LoadCaller.request(deployment.address(ENTRY), COMPLETIONS_PATH, 400);
            MemoryReadings memory = new MemoryReadings(table);
            int openStreams = 0;
            for (int count : STREAMS) {
                for (; openStreams < count; openStreams++) {
                    client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
                }
                TimeUnit.SECONDS.sleep(2);
                memory.add(
                        deployment
                                .getJson(ENTRY, "/metrics")
                                .at("/counters/requests.running/count")
                                .asInt(),
                        deployment.processId(ENTRY));
            }
            memory.addSlopeRow();
        }
    }

    private static void awaitSuccess(HttpRequest request) throws InterruptedException {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        LocalDeployment.await(
                "a first successful response",
                () -> client.send(request, HttpResponse.BodyHandlers.discarding())
                                .statusCode()
                        == 200);
    }

    private static Report.Table memoryTable(Report report, String title, String unit) {
        return report.addTable(
                title,
                unit,
                "live heap KiB",
                "resident MiB",
                "threads",
                "live heap KiB each, over the first row",
                "resident KiB each, over the first row");
    }

    /** Memory readings of one process at several numbers of connections or streams. */
    private static final class MemoryReadings {
        private final Report.Table table;
        private final List<Double> counts = new ArrayList<>();
        private final List<Double> heap = new ArrayList<>();
        private final List<Double> resident = new ArrayList<>();

        MemoryReadings(Report.Table table) {
            this.table = table;
        }

        void add(int count, long processId) {
            ProcessUsage usage = ProcessUsage.of(processId);
            counts.add((double) count);
            heap.add(ProcessUsage.liveHeapBytes(processId) / 1024.0);
            resident.add(usage.residentBytes() / 1024.0);
            int last = counts.size() - 1;
            table.addRow(
                    count,
                    heap.get(last),
                    usage.residentMebibytes(),
                    usage.threads(),
                    last == 0 ? "-" : perUnit(heap, last),
                    last == 0 ? "-" : perUnit(resident, last));
        }

        void addSlopeRow() {
            table.addRow("slope", "-", "-", "-", Report.slope(counts, heap), Report.slope(counts, resident));
        }

        private double perUnit(List<Double> values, int index) {
            return (values.get(index) - values.get(0)) / (counts.get(index) - counts.get(0));
        }
    }
}
