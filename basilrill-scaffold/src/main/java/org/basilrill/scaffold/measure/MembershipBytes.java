package org.basilrill.scaffold.measure;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.stream.Stream;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.membership.Fact;
import org.basilrill.coordination.membership.GossipMembership;
import org.basilrill.coordination.membership.GossipMessage;
import org.basilrill.protocol.peer.GossipCodec;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/**
 * Measures, at several sizes, the bytes per second that one instance sends for membership gossip and the time until a
 * fact has reached all instances. Compares gossip of versions with sending the full state. Runs on virtual time.
 * Single-threaded.
 */
public final class MembershipBytes {
    private static final long SEED = 4242;
    private static final int[] SIZES = {3, 6, 12, 24, 48, 96};
    private static final Duration WARM_UP = Duration.ofSeconds(40);
    private static final Duration MEASURED = Duration.ofSeconds(20);
    /** Targets per instance at the design scale: 600 targets and 360 instances. */
    private static final double TARGETS_PER_INSTANCE = 600.0 / 360;

    private static final int MODELS_PER_TARGET = 4;
    private static final Duration MAXIMUM_PROPAGATION_TIME = Duration.ofMinutes(2);
    private static final Duration STEP = Duration.ofMillis(50);

    private final VirtualTime time = new VirtualTime();
    private final Random random = new Random(SEED);
    private final Map<InstanceId, GossipMembership> instances = new TreeMap<>();
    private long sentBytes;
    private long sentMessages;

    private MembershipBytes() {}

    /** Prints a row per size given; the default sizes take a few seconds in all, 360 instances three minutes. */
    public static void main(String[] arguments) {
        int[] sizes = arguments.length == 0
                ? SIZES
                : Stream.of(arguments).mapToInt(Integer::parseInt).toArray();
        System.out.printf("seed %d%n%n", SEED);
        System.out.println("| instances | bytes/s sent per instance | messages/s per instance |"
                + " full state: bytes/s per instance | spread of one fact, s | urgent fact, s |");
        System.out.println("|---|---|---|---|---|---|");
        for (int size : sizes) {
            System.out.println(new MembershipBytes().measure(size));
        }
    }

    private String measure(int size) {
        for (int index = 0; index < size; index++) {
            start(new InstanceId(String.format("entry-%03d", index)), index);
        }
        instances.values().forEach(GossipMembership::start);
        time.advance(WARM_UP);
        sentBytes = 0;
        sentMessages = 0;
        changeLoadsFor(MEASURED);
        double seconds = MEASURED.toSeconds();
        double bytes = sentBytes / seconds / size;
        double messages = sentMessages / seconds / size;
        double fullState = fullStateBytes() * messages;
        double propagationSeconds = seconds(propagationTime(1, false));
        double urgentSeconds = seconds(propagationTime(2, true));
        return String.format(
                "| %d | %.0f | %.1f | %.0f | %.2f | %.2f |",
                size, bytes, messages, fullState, propagationSeconds, urgentSeconds);
    }

    /** Publishes a new load fact of each instance once a second, as under traffic. */
    private void changeLoadsFor(Duration duration) {
        for (long second = 0; second < duration.toSeconds(); second++) {
            instances.values().forEach(instance -> instance.publish(new Fact.InstanceLoadFact(random.nextInt(100))));
            time.advance(Duration.ofSeconds(1));
        }
    }

    private Duration propagationTime(long revision, boolean urgent) {
        InstanceId origin = instances.keySet().iterator().next();
        Fact fact = instanceFact(revision);
        if (urgent) {
            instances.get(origin).publishUrgently(fact);
        } else {
            instances.get(origin).publish(fact);
        }
        Duration elapsed = Duration.ZERO;
        while (elapsed.compareTo(MAXIMUM_PROPAGATION_TIME) < 0 && !allHaveRevision(origin, revision)) {
            time.advance(STEP);
            elapsed = elapsed.plus(STEP);
        }
        return elapsed;
    }

    private boolean allHaveRevision(InstanceId origin, long revision) {
        return instances.values().stream()
                .allMatch(instance -> instance.member(origin)
                        .filter(member -> member.revision() == revision)
                        .isPresent());
    }

    /** Returns the size of one message with all facts. */
    private long fullStateBytes() {
        GossipMembership any = instances.values().iterator().next();
        List<GossipMessage.OwnerDelta> deltas = new ArrayList<>();
        for (InstanceId owner : instances.keySet()) {
            List<GossipMessage.Item> items = any.facts(owner, Fact.class).stream()
                    .map(fact -> new GossipMessage.Item(1, fact))
                    .toList();
            deltas.add(new GossipMessage.OwnerDelta(owner, 1, 0, 1, items, 0));
        }
        return GossipCodec.encode(new GossipMessage(Optional.empty(), deltas, false)).length;
    }

    private void start(InstanceId id, int index) {
        GossipMembership membership = new GossipMembership(
                id,
                List.of(new InstanceId("entry-000"), new InstanceId("entry-001")),
                1,
                time,
                time,
                random,
                (to, message) -> send(id, to, message));
        membership.publish(instanceFact(0));
        int targets = (int) (TARGETS_PER_INSTANCE * (index + 1)) - (int) (TARGETS_PER_INSTANCE * index);
        for (int target = 0; target < targets; target++) {
            membership.publish(targetFact(id + "-target-" + target));
        }
        instances.put(id, membership);
    }

    private void send(InstanceId from, InstanceId to, GossipMessage message) {
        byte[] encoded = GossipCodec.encode(message);
        sentBytes += encoded.length;
        sentMessages++;
        time.schedule(Duration.ofMillis(1), () -> instances.get(to).received(from, GossipCodec.decode(encoded)));
    }

    private static Fact instanceFact(long revision) {
        return new Fact.InstanceFact("dc-1", "10.0.0.17:8080", "10.0.0.17:9080", false, true, revision);
    }

    private static Fact targetFact(String name) {
        Map<ModelId, LoadedModel> contents = new TreeMap<>();
        for (int model = 0; model < MODELS_PER_TARGET; model++) {
            contents.put(
                    new ModelId("model-" + name.hashCode() % 1500 + "-" + model), new LoadedModel(1, 1L << 33, true));
        }
        return new Fact.TargetFact(new TargetAnnouncement(
                new TargetId(name),
                1_700_000_000_000L,
                1,
                "10.0.1.20",
                8000,
                "dc-1",
                Optional.empty(),
                2000,
                1L << 36,
                contents,
                Set.of(),
                32,
                new TargetAnnouncement.Load(0, 0),
                true,
                false,
                Optional.empty(),
                0));
    }

    private static double seconds(Duration duration) {
        return duration.toMillis() / 1000.0;
    }
}
