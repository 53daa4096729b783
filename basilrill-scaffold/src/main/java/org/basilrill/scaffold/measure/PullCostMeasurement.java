package org.basilrill.scaffold.measure;

import com.codahale.metrics.MetricRegistry;
import com.fasterxml.jackson.databind.JsonNode;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerSubject;
import org.basilrill.state.codec.ThriftCodec;
import org.basilrill.thrift.control.ControlMessage;
import org.basilrill.thrift.control.PullRequest;
import org.basilrill.thrift.envelope.Envelope;
import org.basilrill.thrift.envelope.PeerService;
import org.basilrill.transport.peer.PeerTransport;
import org.basilrill.transport.threads.ExecutorScheduler;
import org.basilrill.transport.threads.SystemClock;

/**
 * Measures the processor time of a control pull at the replica that takes it and of its confirmation at the leader, as
 * the slope over the number of instances that pull twice a second. Each of them has a connection of its own, as a real
 * instance has; the messages carry the names of instances that do not exist. Not thread safe.
 */
final class PullCostMeasurement {
    private static final int[] INSTANCES = {0, 60, 120, 240, 360};
    private static final int MOST_INSTANCES = 360;
    private static final int ROUNDS = 2;
    private static final int REPLICAS = 3;
    private static final int SENDERS = 8;
    private static final long PERIOD_MILLIS = 500;
    private static final int SETTLE_SECONDS = 1;
    private static final int WINDOW_SECONDS = 5;
    /** Compilation under load would count against the sizes measured first. */
    private static final int WARM_UP_SECONDS = 20;

    private static final int TIMEOUT_MILLIS = 5000;
    private static final double PERCENT_TO_MICROSECONDS = 1e4;

    private final LocalDeployment deployment;
    private final AtomicLong answers = new AtomicLong();
    private volatile int pulling = MOST_INSTANCES;

    private PullCostMeasurement(LocalDeployment deployment) {
        this.deployment = deployment;
    }

    static Report run(long seed) throws IOException, InterruptedException, TException {
        Report report = new Report("pulls", seed);
        report.setting("replicas", REPLICAS);
        report.setting("pull period ms", PERIOD_MILLIS);
        report.setting("window_s", WINDOW_SECONDS);
        report.setting("rounds", ROUNDS);
        report.setting("warm_up_s", WARM_UP_SECONDS);
        for (boolean toLeader : new boolean[] {false, true}) {
            try (LocalDeployment deployment = new LocalDeployment(REPLICAS, REPLICAS)) {
                deployment.apply(0, 0, LocalDeployment.rules(5, 1));
                new PullCostMeasurement(deployment).measure(report, toLeader);
            }
        }
        return report;
    }

    private void measure(Report report, boolean toLeader) throws IOException, InterruptedException, TException {
        Report.Table table = report.table(
                "All pulls to " + (toLeader ? "the leader" : "one follower"),
                "instances",
                "pulls/s answered",
                "leader core %",
                "taking replica core %",
                "other replica core %",
                "control messages to the leader/s",
                "sent bytes/s of the taking replica",
                "taking replica live heap MiB",
                "its resident MiB",
                "its threads");
        int leader = deployment.leader();
        int taking = toLeader ? leader : (leader + 1) % REPLICAS;
        int other = (leader + 2) % REPLICAS;
        ExecutorService executor = Executors.newCachedThreadPool();
        ScheduledExecutorService senders = Executors.newScheduledThreadPool(SENDERS);
        int port = LocalDeployment.freePorts(1).get(0);
        List<Double> pulls = new ArrayList<>();
        List<Double> leaderShare = new ArrayList<>();
        List<Double> takingShare = new ArrayList<>();
        try (PeerTransport sink = new PeerTransport(
                new InstanceId("sink"),
                any -> Optional.empty(),
                executor,
                new SystemClock(),
                new ExecutorScheduler(senders, executor),
                new MetricRegistry())) {
            sink.handle(PeerSubject.CONTROL, (sender, payload) -> answers.incrementAndGet());
            InetSocketAddress sinkAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            sink.start(sinkAddress, sinkAddress);
            for (int number = 0; number < MOST_INSTANCES; number++) {
                startPulls(senders, taking, number, port);
            }
            TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
            for (int row = 0; row < ROUNDS * INSTANCES.length; row++) {
                pulling = INSTANCES[row % INSTANCES.length];
                TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
                Reading before = read(leader, taking, other);
                TimeUnit.SECONDS.sleep(WINDOW_SECONDS);
                Reading after = read(leader, taking, other);
                pulls.add(after.answersPerSecondSince(before));
                leaderShare.add(after.leader().corePercentSince(before.leader()));
                takingShare.add(after.taking().corePercentSince(before.taking()));
                int last = pulls.size() - 1;
                table.row(
                        pulling,
                        pulls.get(last),
                        leaderShare.get(last),
                        takingShare.get(last),
                        after.other().corePercentSince(before.other()),
                        after.perSecondSince(before, after.leaderMessages() - before.leaderMessages()),
                        after.perSecondSince(before, after.takingBytes() - before.takingBytes()),
                        ProcessUsage.liveHeapBytes(deployment.process(taking)) / (double) (1 << 20),
                        after.taking().residentMebibytes(),
                        after.taking().threads());
            }
        } finally {
            senders.shutdownNow();
            executor.shutdown();
        }
        report.table(
                        "Slope, all pulls to " + (toLeader ? "the leader" : "one follower"),
                        "microseconds of processor time for each pull at the leader",
                        "at the taking replica")
                .row(
                        Report.slope(pulls, leaderShare) * PERCENT_TO_MICROSECONDS,
                        Report.slope(pulls, takingShare) * PERCENT_TO_MICROSECONDS);
    }

    private void startPulls(ScheduledExecutorService senders, int taking, int number, int port) throws TException {
        TSocket socket = new TSocket(null, "127.0.0.1", deployment.peerPort(taking), TIMEOUT_MILLIS);
        TFramedTransport connection = new TFramedTransport(socket);
        connection.open();
        PeerService.Client client = new PeerService.Client(new TCompactProtocol(connection));
        AtomicLong request = new AtomicLong();
        senders.scheduleAtFixedRate(
                () -> {
                    if (number >= pulling) {
                        return;
                    }
                    // The sender holds the newest view and a session, so that the answer carries no state.
                    PullRequest pull = new PullRequest(request.incrementAndGet(), Long.MAX_VALUE, 1, number + 1);
                    Envelope envelope = new Envelope();
                    envelope.setSender(String.format("puller-%03d", number));
                    envelope.setSenderAddress("127.0.0.1:" + port);
                    envelope.setSubject((short) PeerSubject.CONTROL.wireNumber());
                    envelope.setPayload(ThriftCodec.encode(ControlMessage.pullRequest(pull)));
                    try {
                        client.deliver(List.of(envelope));
                    } catch (TException exception) {
                        throw new IllegalStateException("a pull could not be sent", exception);
                    }
                },
                number * PERIOD_MILLIS / MOST_INSTANCES,
                PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private Reading read(int leader, int taking, int other) throws IOException, InterruptedException {
        JsonNode leaderMetrics = deployment.json(leader, "/metrics").path("counters");
        JsonNode takingMetrics = deployment.json(taking, "/metrics").path("counters");
        return new Reading(
                deployment.usage(leader),
                deployment.usage(taking),
                deployment.usage(other),
                leaderMetrics
                        .path("peer.received.control.messages")
                        .path("count")
                        .asLong(),
                takingMetrics.path("peer.sent.control.bytes").path("count").asLong(),
                answers.get());
    }

    /** One reading of the replicas and of the answers so far. */
    private record Reading(
            ProcessUsage leader,
            ProcessUsage taking,
            ProcessUsage other,
            long leaderMessages,
            long takingBytes,
            long answers) {
        double perSecondSince(Reading earlier, long count) {
            return count * 1e9 / (leader.atNanos() - earlier.leader.atNanos());
        }

        double answersPerSecondSince(Reading earlier) {
            return perSecondSince(earlier, answers - earlier.answers);
        }
    }
}
