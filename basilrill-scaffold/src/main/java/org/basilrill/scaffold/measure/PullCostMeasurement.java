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
 * Measures the processor time of a control pull at the replica that receives it and of its confirmation at the leader.
 * The time per pull is the slope of processor time over the rate of pulls, with instances that pull twice a second. The
 * instances are simulated: each has its own connection, as a real instance does, and a name that no instance has. Not
 * thread safe.
 */
final class PullCostMeasurement {
    private static final int[] INSTANCES = {0, 60, 120, 240, 360};
    private static final int MOST_INSTANCES = 360;
    private static final int ROUNDS = 2;
    private static final int REPLICAS = 3;
    private static final int SENDER_THREADS = 8;
    private static final long PERIOD_MILLIS = 500;
    private static final int SETTLE_SECONDS = 1;
    private static final int WINDOW_SECONDS = 5;
    /** Without a warm-up under load, JIT compilation would inflate the cost of the sizes measured first. */
    private static final int WARM_UP_SECONDS = 20;

    private static final int TIMEOUT_MILLIS = 5000;
    private static final double PERCENT_TO_MICROSECONDS = 1e4;

    private final LocalDeployment deployment;
    private final AtomicLong responseCount = new AtomicLong();
    private volatile int activePullers = MOST_INSTANCES;

    private PullCostMeasurement(LocalDeployment deployment) {
        this.deployment = deployment;
    }

    static Report run(long seed) throws IOException, InterruptedException, TException {
        Report report = new Report("pulls", seed);
        report.addSetting("replicas", REPLICAS);
        report.addSetting("pull period ms", PERIOD_MILLIS);
        report.addSetting("window_s", WINDOW_SECONDS);
        report.addSetting("rounds", ROUNDS);
        report.addSetting("warm_up_s", WARM_UP_SECONDS);
        for (boolean toLeader : new boolean[] {false, true}) {
            try (LocalDeployment deployment = new LocalDeployment(REPLICAS, REPLICAS)) {
                deployment.applyRules(0, 0, LocalDeployment.rules(5, 1));
                new PullCostMeasurement(deployment).measure(report, toLeader);
            }
        }
        return report;
    }

    private void measure(Report report, boolean toLeader) throws IOException, InterruptedException, TException {
        Report.Table table = report.addTable(
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
        int receiver = toLeader ? leader : (leader + 1) % REPLICAS;
        int other = (leader + 2) % REPLICAS;
        ExecutorService executor = Executors.newCachedThreadPool();
        ScheduledExecutorService senders = Executors.newScheduledThreadPool(SENDER_THREADS);
        int port = LocalDeployment.freePorts(1).get(0);
        List<Double> pulls = new ArrayList<>();
        List<Double> leaderShare = new ArrayList<>();
        List<Double> receiverShare = new ArrayList<>();
        try (PeerTransport sink = new PeerTransport(
                new InstanceId("sink"),
                any -> Optional.empty(),
                executor,
                new SystemClock(),
                new ExecutorScheduler(senders, executor),
                new MetricRegistry())) {
            sink.handle(PeerSubject.CONTROL, (sender, payload) -> responseCount.incrementAndGet());
            InetSocketAddress sinkAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
            sink.start(sinkAddress, sinkAddress);
            for (int number = 0; number < MOST_INSTANCES; number++) {
                startPulls(senders, receiver, number, port);
            }
            TimeUnit.SECONDS.sleep(WARM_UP_SECONDS);
            for (int row = 0; row < ROUNDS * INSTANCES.length; row++) {
                activePullers = INSTANCES[row % INSTANCES.length];
                TimeUnit.SECONDS.sleep(SETTLE_SECONDS);
                Reading before = takeReading(leader, receiver, other);
                TimeUnit.SECONDS.sleep(WINDOW_SECONDS);
                Reading after = takeReading(leader, receiver, other);
                pulls.add(after.responsesPerSecondSince(before));
                leaderShare.add(after.leader().corePercentSince(before.leader()));
                receiverShare.add(after.receiver().corePercentSince(before.receiver()));
                int last = pulls.size() - 1;
                table.addRow(
                        activePullers,
                        pulls.get(last),
                        leaderShare.get(last),
                        receiverShare.get(last),
                        after.other().corePercentSince(before.other()),
                        after.perSecondSince(before, after.leaderMessages() - before.leaderMessages()),
                        after.perSecondSince(before, after.receiverBytes() - before.receiverBytes()),
                        ProcessUsage.liveHeapBytes(deployment.processId(receiver)) / (double) (1 << 20),
                        after.receiver().residentMebibytes(),
                        after.receiver().threads());
            }
        } finally {
            senders.shutdownNow();
            executor.shutdown();
        }
        report.addTable(
                        "Slope, all pulls to " + (toLeader ? "the leader" : "one follower"),
                        "microseconds of processor time for each pull at the leader",
                        "at the taking replica")
                .addRow(
                        Report.slope(pulls, leaderShare) * PERCENT_TO_MICROSECONDS,
                        Report.slope(pulls, receiverShare) * PERCENT_TO_MICROSECONDS);
    }

    private void startPulls(ScheduledExecutorService senders, int receiver, int number, int port) throws TException {
        TSocket socket = new TSocket(null, "127.0.0.1", deployment.peerPort(receiver), TIMEOUT_MILLIS);
        TFramedTransport connection = new TFramedTransport(socket);
        connection.open();
        PeerService.Client client = new PeerService.Client(new TCompactProtocol(connection));
        AtomicLong request = new AtomicLong();
        senders.scheduleAtFixedRate(
                () -> {
                    if (number >= activePullers) {
                        return;
                    }
                    // The request claims the newest view and a session, so that the pull response contains no state.
                    PullRequest pull = new PullRequest(request.incrementAndGet(), Long.MAX_VALUE, 1, number + 1);
                    Envelope envelope = new Envelope();
                    envelope.setSender(String.format("puller-%03d", number));
                    envelope.setSenderAddress("127.0.0.1:" + port);
                    envelope.setSubject((short) PeerSubject.CONTROL.wireNumber());
                    envelope.setPayload(ThriftCodec.encode(ControlMessage.pullRequest(pull)));
                    try {
                        client.deliver(List.of(envelope));
                    } catch (TException exception) {
                        throw new IllegalStateException("the pull request could not be sent", exception);
                    }
                },
                number * PERIOD_MILLIS / MOST_INSTANCES,
                PERIOD_MILLIS,
                TimeUnit.MILLISECONDS);
    }

    private Reading takeReading(int leader, int receiver, int other) throws IOException, InterruptedException {
        JsonNode leaderMetrics = deployment.getJson(leader, "/metrics").path("counters");
        JsonNode receiverMetrics = deployment.getJson(receiver, "/metrics").path("counters");
        return new Reading(
                deployment.usage(leader),
                deployment.usage(receiver),
                deployment.usage(other),
                leaderMetrics
                        .path("peer.received.control.messages")
                        .path("count")
                        .asLong(),
                receiverMetrics.path("peer.sent.control.bytes").path("count").asLong(),
                responseCount.get());
    }

    /** Usage and counters of the replicas, and the number of pull responses so far. */
    private record Reading(
            ProcessUsage leader,
            ProcessUsage receiver,
            ProcessUsage other,
            long leaderMessages,
            long receiverBytes,
            long responses) {
        double perSecondSince(Reading earlier, long count) {
            return count * 1e9 / (leader.atNanos() - earlier.leader.atNanos());
        }

        double responsesPerSecondSince(Reading earlier) {
            return perSecondSince(earlier, responses - earlier.responses);
        }
    }
}
