package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.HashSet;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;

/** Simulates a network that loses, duplicates, delays and reorders messages. Not thread safe. */
public final class VirtualNetwork {
    private static final long SHORTEST_DELAY_NANOS = 500_000;
    private static final long DELAY_SPREAD_NANOS = 500_000;
    private static final long LATE_SPREAD_NANOS = 4_000_000_000L;

    private final VirtualTime time;
    private final RandomGenerator random;
    private final Set<InstanceId> cutFromPeers = new HashSet<>();
    private final Set<InstanceId> cutFromControl = new HashSet<>();
    private BiPredicate<InstanceId, InstanceId> linksDown = (one, other) -> false;
    private Duration detectionTime = Duration.ZERO;
    private Faults faults = Faults.NONE;
    private long messages;
    private long bytes;

    public VirtualNetwork(VirtualTime time, RandomGenerator random) {
        this.time = time;
        this.random = random;
    }

    /** Sets the faults that apply to messages sent from now on. */
    public void inject(Faults newFaults) {
        faults = newFaults;
    }

    /** Cuts or restores the links of an instance to all other instances. */
    public void cutFromPeers(InstanceId instance, boolean cut) {
        set(cutFromPeers, instance, cut);
    }

    /** Cuts or restores the link of an instance to the control log. */
    public void cutFromControl(InstanceId instance, boolean cut) {
        set(cutFromControl, instance, cut);
    }

    /** Returns the number of messages sent between instances. */
    public long messages() {
        return messages;
    }

    /** Returns the payload bytes sent between instances. */
    public long bytes() {
        return bytes;
    }

    /**
     * Takes links between instances down, in both directions, in place of those taken down before.
     *
     * @param links matches pairs of instances, in one order or the other
     * @param detection time until a sender learns that a message was not delivered: short if connections are refused,
     *     that of a missing acknowledgement if they hang
     */
    public void takeDown(BiPredicate<InstanceId, InstanceId> links, Duration detection) {
        linksDown = links;
        detectionTime = detection;
    }

    /** Sends one message between instances, subject to the current faults; the sender does not learn of them. */
    public void send(InstanceId sender, InstanceId recipient, int size, Runnable delivery) {
        send(sender, recipient, size, delivery, () -> {});
    }

    /**
     * Sends one message between instances, subject to the current faults.
     *
     * @param undelivered called if the link is down
     */
    public void send(InstanceId sender, InstanceId recipient, int size, Runnable delivery, Runnable undelivered) {
        messages++;
        bytes += size;
        if (cutFromPeers.contains(sender) || cutFromPeers.contains(recipient)) {
            return;
        }
        if (linksDown.test(sender, recipient) || linksDown.test(recipient, sender)) {
            time.schedule(detectionTime, undelivered);
            return;
        }
        deliver(delivery);
    }

    /** Sends one message between an instance and the control log, subject to the current faults. */
    public void sendOverControlLink(InstanceId instance, Runnable delivery) {
        if (!cutFromControl.contains(instance)) {
            deliver(delivery);
        }
    }

    private void deliver(Runnable delivery) {
        if (random.nextDouble() >= faults.lost) {
            time.schedule(delay(), delivery);
        }
        if (random.nextDouble() < faults.repeated) {
            time.schedule(delay(), delivery);
        }
    }

    private Duration delay() {
        long nanos = SHORTEST_DELAY_NANOS + random.nextLong(DELAY_SPREAD_NANOS);
        if (random.nextDouble() < faults.late) {
            nanos += random.nextLong(LATE_SPREAD_NANOS);
        }
        return Duration.ofNanos(nanos);
    }

    private static void set(Set<InstanceId> cutInstances, InstanceId instance, boolean cut) {
        if (cut) {
            cutInstances.add(instance);
        } else {
            cutInstances.remove(instance);
        }
    }

    /** Probabilities that a message is lost, is duplicated, and is delayed by up to 4 s. */
    public record Faults(double lost, double repeated, double late) {
        /** Every message is delivered once, after 0.5 to 1 ms. */
        public static final Faults NONE = new Faults(0, 0, 0);
    }
}
