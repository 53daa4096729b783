package org.basilrill.scaffold.measure;

import com.codahale.metrics.MetricRegistry;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.Semaphore;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.HdrHistogram.Histogram;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.CommandCodec;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.transport.peer.PeerTransport;
import org.basilrill.transport.threads.ControlReplica;
import org.basilrill.transport.threads.ExecutorScheduler;
import org.basilrill.transport.threads.SystemClock;

/**
 * Measures the latency and rate of commits with real disks and TCP on loopback, with all replicas as threads of this
 * process. The baseline writes and syncs one file without replication. Not thread safe.
 */
final class ControlLogMeasurement {
    private static final int[] SIZES = {3, 5, 7};
    private static final int ROUNDS = 3;
    private static final int COMMITS_PER_ROUND = 300;
    private static final int OUTSTANDING_COMMITS = 64;
    private static final Duration WINDOW = Duration.ofSeconds(3);
    private static final int SIGNIFICANT_DIGITS = 3;

    private final SplittableRandom random;
    private final Path folder;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Map<InstanceId, ControlReplica> replicas = new LinkedHashMap<>();
    private final List<PeerTransport> transports = new ArrayList<>();

    private ControlLogMeasurement(long seed, Path folder) {
        this.random = new SplittableRandom(seed);
        this.folder = folder;
    }

    static Report run(long seed) throws IOException, InterruptedException {
        Report report = new Report("control-log", seed);
        report.addSetting("rounds", ROUNDS);
        report.addSetting("sequential commits per round", COMMITS_PER_ROUND);
        report.addSetting("outstanding for the rate", OUTSTANDING_COMMITS);
        report.addSetting("replicas", "threads of one process, TCP on loopback, one disk");
        Report.Table table = report.addTable(
                "Commits",
                "replicas",
                "median ms (rounds)",
                "p99 ms (rounds)",
                "commits/s, 64 outstanding (rounds)",
                "write and sync of one file, median ms (rounds)",
                "ratio of medians");
        for (int size : SIZES) {
            measure(table, size, seed);
        }
        return report;
    }

    private static void measure(Report.Table table, int size, long seed) throws IOException, InterruptedException {
        Path folder = Files.createTempDirectory("basilrill-measure");
        ControlLogMeasurement measurement = new ControlLogMeasurement(seed, folder);
        try {
            measurement.startReplicas(size);
            measurement.awaitLeader();
            measurement.commitSequentially();
            List<Double> medians = new ArrayList<>();
            List<Double> percentiles99 = new ArrayList<>();
            List<Double> rates = new ArrayList<>();
            List<Double> syncs = new ArrayList<>();
            for (int round = 0; round < ROUNDS; round++) {
                Histogram commits = measurement.commitSequentially();
                medians.add(Report.percentileMillis(commits, 50));
                percentiles99.add(Report.percentileMillis(commits, 99));
                syncs.add(Report.percentileMillis(measurement.writeAndSync(), 50));
                rates.add(measurement.commitConcurrently());
            }
            table.addRow(
                    size,
                    Report.medianAndRange(medians),
                    Report.medianAndRange(percentiles99),
                    Report.medianAndRange(rates),
                    Report.medianAndRange(syncs),
                    Report.median(medians) / Report.median(syncs));
        } finally {
            measurement.stop();
        }
    }

    private void startReplicas(int size) throws IOException {
        List<InstanceId> founders = IntStream.range(0, size)
                .mapToObj(number -> new InstanceId("replica-" + number))
                .toList();
        Map<InstanceId, InetSocketAddress> addresses = new LinkedHashMap<>();
        List<Integer> ports = LocalDeployment.freePorts(size);
        for (int number = 0; number < size; number++) {
            addresses.put(
                    founders.get(number), new InetSocketAddress(InetAddress.getLoopbackAddress(), ports.get(number)));
        }
        for (InstanceId founder : founders) {
            PeerTransport transport = new PeerTransport(
                    founder,
                    other -> Optional.ofNullable(addresses.get(other)),
                    executor,
                    new SystemClock(),
                    new ExecutorScheduler(timer, executor),
                    new MetricRegistry());
            ControlReplica replica = ControlReplica.start(
                    founder, founders, folder.resolve(founder.value()), new ControlStateMachine(), transport);
            transport.handle(PeerSubject.CONSENSUS, replica);
            transport.start(addresses.get(founder), addresses.get(founder));
            transports.add(transport);
            replicas.put(founder, replica);
        }
    }

    private ControlReplica awaitLeader() throws InterruptedException {
        LocalDeployment.await("an election", () -> replicas.values().stream().anyMatch(ControlReplica::isLeader));
        return replicas.values().stream()
                .filter(ControlReplica::isLeader)
                .findFirst()
                .orElseThrow();
    }

    private Histogram commitSequentially() throws InterruptedException {
        ControlReplica leader = awaitLeader();
        Histogram nanos = new Histogram(SIGNIFICANT_DIGITS);
        for (int commit = 0; commit < COMMITS_PER_ROUND; commit++) {
            long begin = System.nanoTime();
            leader.propose(encodedCrashReport()).join();
            nanos.recordValue(System.nanoTime() - begin);
        }
        return nanos;
    }

    private double commitConcurrently() throws InterruptedException {
        ControlReplica leader = awaitLeader();
        Semaphore freePermits = new Semaphore(OUTSTANDING_COMMITS);
        AtomicLong committed = new AtomicLong();
        long begin = System.nanoTime();
        while (System.nanoTime() - begin < WINDOW.toNanos()) {
            freePermits.acquire();
            leader.propose(encodedCrashReport()).whenComplete((result, failure) -> {
                committed.addAndGet(failure == null ? 1 : 0);
                freePermits.release();
            });
        }
        freePermits.acquire(OUTSTANDING_COMMITS);
        return committed.get() * 1e9 / (System.nanoTime() - begin);
    }

    private Histogram writeAndSync() throws IOException {
        Histogram nanos = new Histogram(SIGNIFICANT_DIGITS);
        try (FileChannel file =
                FileChannel.open(folder.resolve("baseline"), StandardOpenOption.CREATE, StandardOpenOption.APPEND)) {
            for (int write = 0; write < COMMITS_PER_ROUND; write++) {
                byte[] command = encodedCrashReport();
                long begin = System.nanoTime();
                file.write(ByteBuffer.wrap(command));
                file.force(false);
                nanos.recordValue(System.nanoTime() - begin);
            }
        }
        return nanos;
    }

    /** Returns an encoded crash report, the smallest command that changes state without any precondition. */
    private byte[] encodedCrashReport() {
        return CommandCodec.encode(new ControlCommand.ReportCrash(
                String.format("%064x", random.nextInt(100)), new TargetId("engine-1"), random.nextInt(4), 1));
    }

    private void stop() throws IOException {
        replicas.values().forEach(ControlReplica::close);
        transports.forEach(PeerTransport::close);
        executor.shutdown();
        timer.shutdownNow();
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder())
                    .forEach(file -> file.toFile().delete());
        }
    }
}
