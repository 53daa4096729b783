package org.basilrill.coordination.membership;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;

/**
 * Which links to other instances are down. A link is down from a message that was not acknowledged to the next one that
 * is. Thread safe.
 */
final class LinkStates {
    /** A link that is down is tried with a message this often, so that it is used again soon after it returns. */
    static final Duration PROBE_INTERVAL = Duration.ofMillis(500);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** A partition takes the links to all instances of a data centre down at once. */
    private static final int LOG_SECONDS = 10;
    /** A delivery this recent outweighs the presumption that a link is down. */
    private static final Duration RECENT_DELIVERY = Duration.ofMillis(500);

    private final MonotonicClock clock;
    /** Time of the last probe of each link that is down. */
    private final Map<InstanceId, Long> probedNanos = new ConcurrentHashMap<>();

    private final Map<InstanceId, Long> deliveredNanos = new ConcurrentHashMap<>();

    LinkStates(MonotonicClock clock) {
        this.clock = clock;
    }

    void delivered(InstanceId peer) {
        deliveredNanos.put(peer, clock.nanos());
        if (probedNanos.remove(peer) != null) {
            LOGGER.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log("%s: %s", LogEvent.PEER_LINK_RETURNED, peer);
        }
    }

    void failed(InstanceId peer) {
        deliveredNanos.remove(peer);
        if (probedNanos.putIfAbsent(peer, clock.nanos()) == null) {
            LOGGER.atInfo().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log("%s: %s", LogEvent.PEER_LINK_DOWN, peer);
        }
    }

    /** Takes a link down on weak evidence, unless a message was delivered over it just before; it is probed at once. */
    void presumeDown(InstanceId peer) {
        Long delivered = deliveredNanos.get(peer);
        if (delivered == null || clock.nanos() - delivered > RECENT_DELIVERY.toNanos()) {
            probedNanos.putIfAbsent(peer, clock.nanos() - PROBE_INTERVAL.toNanos());
        }
    }

    boolean isDown(InstanceId peer) {
        return probedNanos.containsKey(peer);
    }

    /** Returns whether the next message has to try a link that is down; records the probe. */
    boolean isProbeDue(InstanceId peer) {
        long now = clock.nanos();
        Long probed = probedNanos.get(peer);
        return probed == null || now - probed >= PROBE_INTERVAL.toNanos() && probedNanos.replace(peer, probed, now);
    }

    int numberDown() {
        return probedNanos.size();
    }
}
