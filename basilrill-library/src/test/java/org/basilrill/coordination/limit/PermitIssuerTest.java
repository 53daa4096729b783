package org.basilrill.coordination.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.limit.LimitMessage.Observation;
import org.basilrill.coordination.limit.LimitMessage.PermitDemand;
import org.basilrill.coordination.limit.LimitMessage.PermitGrant;
import org.basilrill.coordination.limit.LimitMessage.PermitIssue;
import org.basilrill.coordination.limit.LimitMessage.PermitReport;
import org.basilrill.protocol.peer.ThriftLimitCodec;
import org.basilrill.state.target.RequestRate;
import org.junit.jupiter.api.Test;

/** Guards the order in which permits are issued, and that no permit is issued twice. */
class PermitIssuerTest {
    private static final TargetKey TARGET = new TargetKey(new TargetId("engine-1"), 7);
    private static final InstanceId FIRST = new InstanceId("first");
    private static final InstanceId SECOND = new InstanceId("second");

    private final VirtualTime time = new VirtualTime();
    private final ThriftLimitCodec codec = new ThriftLimitCodec();
    private final List<Sent> sent = new ArrayList<>();
    private final LimitMessenger messenger = new LimitMessenger(
            new InstanceId("issuer"),
            (recipient, subject, payload) -> sent.add(new Sent(recipient, (PermitIssue) codec.decode(payload))),
            codec,
            time);
    private final Map<InstanceId, Demand> demands = new TreeMap<>();
    private long term = 1;
    private boolean leads = true;
    private long sequence;

    PermitIssuerTest() {
        new PermitIssuer(new PermitIssuer.Environment(
                () -> leads, () -> term, () -> List.of(FIRST, SECOND), messenger, time, time));
    }

    /** Guards against a less urgent request that is served before a more urgent one of another instance. */
    @Test
    void theMoreUrgentRequestGetsThePermitFirst() {
        demand(FIRST, 1, 3);
        demand(SECOND, 1, 0);
        run(Duration.ofMillis(1100));
        assertThat(recipients(), contains(SECOND));
    }

    /** Guards against an instance with many queued requests that gets all permits. */
    @Test
    void instancesWithQueuedRequestsTakeTurns() {
        demand(FIRST, 50, 2);
        demand(SECOND, 50, 2);
        run(Duration.ofMillis(4100));
        assertThat(recipients(), contains(FIRST, SECOND, FIRST, SECOND));
    }

    /** Guards against a less urgent request that waits forever while more urgent ones keep arriving. */
    @Test
    void aRequestThatHasWaitedLongIsServedBeforeMoreUrgentOnes() {
        demand(FIRST, 9, 3);
        demand(SECOND, 9, 0);
        run(Duration.ofMillis(6100));
        assertThat(recipients().contains(FIRST), is(true));
    }

    /** Guards against a permit that is issued again because the report that returned it arrives twice. */
    @Test
    void aRepeatedReportReturnsPermitsOnlyOnce() {
        demand(FIRST, 1, 0);
        run(Duration.ofMillis(1100));
        PermitReport returning =
                new PermitReport(1, ++sequence, List.of(permitDemand(0, 0, 0, granted(FIRST), 1)), List.of());
        receive(FIRST, returning);
        receive(FIRST, returning);
        demand(SECOND, 5, 0);
        assertThat(recipients(), contains(FIRST, SECOND));
    }

    /** Guards against a second permit for a request whose report crosses the grant of the first. */
    @Test
    void aReportThatCrossesAGrantRequestsNoSecondPermit() {
        demand(FIRST, 1, 0);
        run(Duration.ofMillis(800));
        time.advance(Duration.ofMillis(250));
        PermitReport crossing =
                new PermitReport(1, ++sequence, List.of(permitDemand(1, 0, 1050, granted(FIRST) - 1, 0)), List.of());
        demands.clear();
        receive(FIRST, crossing);
        run(Duration.ofMillis(990));
        assertThat(recipients(), contains(FIRST));
    }

    /** Guards against a new leader that issues again at once what its predecessor has issued. */
    @Test
    void anIssuerOfANewTermStartsWithAnEmptyBucket() {
        demand(FIRST, 1, 0);
        run(Duration.ofMillis(1100));
        // Without a demand, the bucket of the first term fills up.
        demand(FIRST, 0, 0);
        run(Duration.ofSeconds(2));
        sent.clear();
        term++;
        demand(SECOND, 5, 0);
        assertThat(recipients(), empty());
        run(Duration.ofMillis(1100));
        assertThat(recipients().size(), is(1));
    }

    /** Guards against permits from a replica that no longer leads. */
    @Test
    void aReplicaThatDoesNotLeadIssuesNothing() {
        demand(FIRST, 1, 0);
        leads = false;
        run(Duration.ofSeconds(3));
        assertThat(recipients(), empty());
    }

    /** Guards against messages to all instances for each response of a target whose rate varies a little. */
    @Test
    void onlyANotableChangeOfARateIsSentToAllInstances() {
        observe(1.0);
        observe(1.1);
        observe(0.9);
        assertThat(notices(SECOND), is(1L));
        observe(0.5);
        assertThat(notices(SECOND), is(2L));
    }

    /** Guards against permits that are returned and issued again and so add up to many that can be used at once. */
    @Test
    void returnedPermitsDoNotAccumulate() {
        PermitBucket bucket = new PermitBucket(new RequestRate(10), 0);
        Deque<Long> held = new ArrayDeque<>();
        long end = Duration.ofSeconds(60).toNanos();
        for (long now = 0; now < end; now += Duration.ofMillis(10).toNanos()) {
            boolean returns = !held.isEmpty()
                    && now - held.peek() >= Duration.ofMillis(400).toNanos();
            if (returns) {
                held.poll();
                bucket.giveBack(1, now);
            }
            if (held.size() < 100 && bucket.take(now)) {
                held.add(now);
            }
            assertThat(held.size(), lessThan(14));
        }
    }

    /** Guards against a timer that runs again and again while unused permits leave no room for the next one. */
    @Test
    void theNextPermitIsNotExpectedBeforeAnUnusedOneHasExpired() {
        PermitBucket bucket = new PermitBucket(new RequestRate(100), 0);
        long now = Duration.ofSeconds(1).toNanos();
        for (int permit = 0; permit < 11; permit++) {
            assertThat(bucket.take(now), is(true));
        }
        bucket.configure(new RequestRate(9), now);
        now += Duration.ofMillis(150).toNanos();
        assertThat(bucket.nanosUntil(1, now), greaterThan(Duration.ofMillis(800).toNanos()));
    }

    /** Guards against orders to an engine that come on top of the requests of callers. */
    @Test
    void requestsSentWithoutAPermitDelayTheNextPermit() {
        PermitBucket bucket = new PermitBucket(new RequestRate(1), 0);
        bucket.charge(0);
        assertThat(bucket.take(Duration.ofMillis(1900).toNanos()), is(false));
        assertThat(bucket.take(Duration.ofMillis(2100).toNanos()), is(true));
    }

    /** Guards against an estimate of the wait that ignores the instances that are served before. */
    @Test
    void theReportedWaitCoversTheInstancesServedBefore() {
        demand(FIRST, 1, 0);
        time.advance(Duration.ofMillis(10));
        demand(SECOND, 1, 0);
        PermitGrant report = lastGrant(SECOND);
        assertThat(report.permits(), is(0));
        assertThat(report.waitMillis(), greaterThan(1900L));
        assertThat(report.waitMillis(), lessThan(2100L));
        assertThat(report.intervalMillis(), is(2000L));
    }

    private void observe(double perSecond) {
        Observation observation = new Observation(TARGET, Optional.of(new RequestRate(perSecond)), 0);
        receive(FIRST, new PermitReport(1, ++sequence, List.of(), List.of(observation)));
    }

    private long notices(InstanceId instance) {
        return sent.stream()
                .filter(message -> message.recipient().equals(instance))
                .mapToLong(message -> message.issue().limits().size())
                .sum();
    }

    /** Sets the demand of an instance, which is reported now and repeated while time passes. */
    private void demand(InstanceId instance, int waiting, int priority) {
        demands.put(instance, new Demand(waiting, priority, time.nanos()));
        report(instance);
    }

    private void run(Duration duration) {
        long end = time.nanos() + duration.toNanos();
        while (end - time.nanos() > 0) {
            time.advance(Duration.ofNanos(Math.min(end - time.nanos(), LimitTiming.REPORT_INTERVAL.toNanos())));
            demands.keySet().forEach(this::report);
        }
    }

    private void report(InstanceId instance) {
        Demand demand = demands.get(instance);
        long waitedMillis = (time.nanos() - demand.sinceNanos()) / 1_000_000;
        PermitDemand reported = permitDemand(demand.waiting(), demand.priority(), waitedMillis, granted(instance), 0);
        receive(instance, new PermitReport(1, ++sequence, List.of(reported), List.of()));
    }

    private static PermitDemand permitDemand(
            int waiting, int priority, long waitedMillis, long lastGrant, long returned) {
        Observation limit = new Observation(TARGET, Optional.of(new RequestRate(1)), 0);
        return new PermitDemand(waiting, false, priority, waitedMillis, limit, lastGrant, returned);
    }

    private void receive(InstanceId sender, PermitReport report) {
        messenger.received(sender, codec.encode(report));
    }

    private PermitGrant lastGrant(InstanceId instance) {
        List<PermitGrant> grants = sent.stream()
                .filter(message -> message.recipient().equals(instance))
                .flatMap(message -> message.issue().grants().stream())
                .toList();
        return grants.get(grants.size() - 1);
    }

    /** Returns the number of the last grant with a permit; 0 if there was none. */
    private long granted(InstanceId instance) {
        return sent.stream()
                .filter(message -> message.recipient().equals(instance))
                .flatMap(message -> message.issue().grants().stream())
                .filter(grant -> grant.permits() > 0)
                .mapToLong(PermitGrant::number)
                .max()
                .orElse(0);
    }

    /** Returns the recipients of permits in the order in which they were issued. */
    private List<InstanceId> recipients() {
        return sent.stream()
                .filter(message -> message.issue().grants().stream().anyMatch(grant -> grant.permits() > 0))
                .map(Sent::recipient)
                .toList();
    }

    /** The queued requests of one instance. */
    private record Demand(int waiting, int priority, long sinceNanos) {}

    /** A message of the issuer. */
    private record Sent(InstanceId recipient, PermitIssue issue) {}
}
