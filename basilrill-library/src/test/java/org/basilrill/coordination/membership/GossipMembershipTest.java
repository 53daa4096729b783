package org.basilrill.coordination.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.BiPredicate;
import org.basilrill.api.InstanceId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.membership.Fact.InstanceFact;
import org.basilrill.coordination.membership.Membership.Member;
import org.junit.jupiter.api.Test;

/** Tests the dissemination of facts and the detection of failed members under message loss, partitions and restarts. */
class GossipMembershipTest {
    private static final long SEED = 20_261_204L;
    private static final InstanceId FIRST = new InstanceId("i0");

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(SEED);
    private final Map<InstanceId, GossipMembership> instances = new TreeMap<>();
    private BiPredicate<InstanceId, InstanceId> deliveryFilter = (from, to) -> true;
    private int deltaOnlyMessages;

    @Test
    void everyInstanceDiscoversAllOthersWithAThirdOfMessagesLost() {
        deliveryFilter = (from, to) -> random.nextInt(3) > 0;
        start(12);
        time.advance(Duration.ofSeconds(20));
        assertThat(memberCounts(), everyItem(is(12)));
    }

    @Test
    void newerFactsReplaceOlderOnesAndNeverTheReverse() {
        deliveryFilter = (from, to) -> random.nextInt(3) > 0;
        start(12);
        List<Long> seen = new ArrayList<>();
        instances.get(new InstanceId("i5")).onFact((owner, fact) -> {
            if (owner.equals(FIRST) && fact instanceof InstanceFact instanceFact) {
                seen.add(instanceFact.revision());
            }
        });
        for (long revision = 1; revision <= 200; revision++) {
            instances.get(FIRST).publish(fact(revision));
            time.advance(Duration.ofMillis(100));
        }
        time.advance(Duration.ofSeconds(20));
        assertThat(seen.stream().sorted().toList(), is(seen));
        assertThat(seen.get(seen.size() - 1), is(200L));
    }

    @Test
    void anUrgentFactArrivesWithoutWaitingForAnExchange() {
        start(12);
        time.advance(Duration.ofSeconds(10));
        instances.get(FIRST).publishUrgently(fact(7));
        time.advance(Duration.ofMillis(31));
        for (GossipMembership membership : instances.values()) {
            assertThat(membership.member(FIRST).orElseThrow().revision(), is(7L));
        }
    }

    /** A leader orders adapters for many engines; one message to each member per order saturated its network link. */
    @Test
    void factsPublishedWithinTheBatchingDelayShareOneMessagePerMember() {
        start(12);
        time.advance(Duration.ofSeconds(10));
        int before = deltaOnlyMessages;
        for (long revision = 1; revision <= 10; revision++) {
            instances.get(FIRST).publishBatched(fact(revision));
            time.advance(Duration.ofMillis(1));
        }
        time.advance(GossipMembership.BATCHING_DELAY.plusMillis(31));
        // Some of the messages are responses of exchanges. One message per fact to each of 11 members would be 110.
        assertThat(deltaOnlyMessages - before, lessThan(2 * 11));
        for (GossipMembership membership : instances.values()) {
            assertThat(membership.member(FIRST).orElseThrow().revision(), is(10L));
        }
    }

    @Test
    void anUnresponsiveMemberIsSuspectedThenRemovedAndNotRestoredByOldDeltas() {
        start(6);
        time.advance(Duration.ofSeconds(10));
        instances.remove(FIRST).stop();
        time.advance(Duration.ofSeconds(6));
        assertThat(suspectedMembers(), everyItem(is(List.of(FIRST))));
        time.advance(Duration.ofSeconds(60));
        assertThat(memberCounts(), everyItem(is(5)));
    }

    /**
     * Guards against an instance that uses the targets of a lost instance again after it reconnects from a partition.
     */
    @Test
    void relayedDeltasDoNotRenewAnUnresponsiveMember() {
        InstanceId returning = new InstanceId("i5");
        start(6);
        time.advance(Duration.ofSeconds(10));
        deliveryFilter = (from, to) -> !from.equals(returning) && !to.equals(returning);
        time.advance(Duration.ofSeconds(5));
        instances.remove(FIRST).stop();
        time.advance(Duration.ofSeconds(6));
        deliveryFilter = (from, to) -> true;
        for (int step = 0; step < 50; step++) {
            time.advance(Duration.ofMillis(100));
            assertThat(instances.get(returning).member(FIRST).orElseThrow().suspected(), is(true));
        }
    }

    @Test
    void twoHalvesReconnectAfterALongPartition() {
        start(6);
        time.advance(Duration.ofSeconds(10));
        deliveryFilter = (from, to) -> (half(from) == half(to));
        time.advance(Duration.ofMinutes(5));
        assertThat(memberCounts(), everyItem(is(3)));
        deliveryFilter = (from, to) -> true;
        time.advance(Duration.ofMinutes(1));
        assertThat(memberCounts(), everyItem(is(6)));
    }

    @Test
    void factsOfAnInstanceRestartedWithAnOlderIncarnationAreAccepted() {
        start(4);
        instances.get(FIRST).publish(fact(9));
        time.advance(Duration.ofSeconds(10));
        instances.get(FIRST).stop();
        instances.put(FIRST, membership(FIRST, 1));
        instances.get(FIRST).publish(fact(10));
        instances.get(FIRST).start();
        time.advance(Duration.ofSeconds(10));
        for (GossipMembership membership : instances.values()) {
            assertThat(membership.member(FIRST).orElseThrow().revision(), is(10L));
        }
    }

    private void start(int count) {
        for (int index = 0; index < count; index++) {
            InstanceId id = new InstanceId("i" + index);
            instances.put(id, membership(id, 100));
            instances.get(id).publish(fact(0));
        }
        instances.values().forEach(GossipMembership::start);
    }

    /** Guards against a listener that fails once and ends the exchange of this instance with all others for good. */
    @Test
    void theExchangeGoesOnAfterAListenerHasFailed() {
        GossipMembership member = membership(FIRST, 1);
        AtomicInteger periods = new AtomicInteger();
        member.onPeriod(() -> {
            if (periods.incrementAndGet() == 1) {
                throw new IllegalStateException("failure planned by the test");
            }
        });
        member.start();
        assertThrows(IllegalStateException.class, () -> time.advance(Duration.ofSeconds(1)));
        time.advance(Duration.ofSeconds(5));
        assertThat(periods.get(), greaterThan(1));
    }

    private GossipMembership membership(InstanceId id, long incarnation) {
        return new GossipMembership(
                id, List.of(FIRST, new InstanceId("i1")), incarnation, time, time, random, (to, message) -> {
                    deltaOnlyMessages += id.equals(FIRST) && message.digest().isEmpty() ? 1 : 0;
                    long delayMillis = 1 + random.nextInt(30);
                    time.schedule(Duration.ofMillis(delayMillis), () -> deliver(id, to, message));
                });
    }

    private void deliver(InstanceId from, InstanceId to, GossipMessage message) {
        if (instances.containsKey(to) && deliveryFilter.test(from, to)) {
            instances.get(to).received(from, message);
        }
    }

    private static InstanceFact fact(long revision) {
        return new InstanceFact("dc-1", "127.0.0.1:1", "127.0.0.1:2", false, true, revision);
    }

    private static boolean half(InstanceId id) {
        return id.value().compareTo("i3") < 0;
    }

    private List<Integer> memberCounts() {
        return instances.values().stream()
                .map(membership -> membership.members().size())
                .toList();
    }

    private List<List<InstanceId>> suspectedMembers() {
        return instances.values().stream()
                .map(membership -> membership.members().stream()
                        .filter(Member::suspected)
                        .map(Member::id)
                        .toList())
                .toList();
    }
}
