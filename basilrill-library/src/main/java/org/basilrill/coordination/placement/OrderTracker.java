package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.placement.TargetOrderClient.Order;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Tracks the open orders of the ledger, including those of earlier controllers, until their outcome is recorded. Not
 * thread safe; guarded by the controller.
 *
 * <p>An order is sent only to the incarnation it was intended for. If the target has restarted since, the order has no
 * effect any more, and the ledger records the contents of the new incarnation. The order then counts as failed.
 *
 * <p>An unload is sent only while another target serves the model. Two controllers may each have submitted an unload of
 * one of two copies. A copy that an order with a lower fencing number unloads does not count. The controller of the
 * later order sees the earlier order in its ledger and does not send its own.
 */
final class OrderTracker {
    /** Added to the time to live; covers the time between two observations of the announcements. */
    static final long MARGIN_NANOS = Duration.ofSeconds(1).toNanos();

    private static final long FIRST_POLL_NANOS = Duration.ofMillis(5).toNanos();

    private final PlacementSettings settings;
    private final long startedNanos;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<TargetId, Long> lastOpenNanos = new HashMap<>();
    private final Map<TargetId, Map<ModelId, Long>> lastUnloadNanos = new HashMap<>();

    OrderTracker(PlacementSettings settings, long startedNanos) {
        this.settings = settings;
        this.startedNanos = startedNanos;
    }

    /** Updates the tracked orders from an observation. Called before the other methods with the same observation. */
    void update(Observation observation, long now) {
        Map<String, OpenOrder> open = observation.openOrders();
        attempts.keySet().retainAll(open.keySet());
        open.values().forEach(order -> {
            attempts.computeIfAbsent(order.orderId(), absent -> new Attempt(now));
            lastOpenNanos.put(order.target(), now);
            if (isUnload(order)) {
                lastUnloadNanos
                        .computeIfAbsent(order.target(), absent -> new HashMap<>())
                        .put(order.model(), now);
            }
        });
    }

    /** Returns the outcome to record now; empty if it is unknown or already being recorded. */
    Optional<OrderOutcome> outcomeToRecord(Observation observation, OpenOrder order) {
        Attempt attempt = attempts.get(order.orderId());
        boolean restarted = observation
                .row(order.target())
                .filter(row -> row.incarnation() > order.targetIncarnation())
                .isPresent();
        if (restarted && attempt.outcome.isEmpty()) {
            attempt.outcome = Optional.of(OrderOutcome.FAILED);
        }
        return attempt.recording ? Optional.empty() : attempt.outcome;
    }

    /** Marks whether the outcome is being recorded. */
    void recording(String orderId, boolean recording) {
        Optional.ofNullable(attempts.get(orderId)).ifPresent(attempt -> attempt.recording = recording);
    }

    /** Returns the target if it is time to send the order or to request its outcome. */
    Optional<TargetAnnouncement> recipient(Observation observation, OpenOrder order, long now) {
        Attempt attempt = attempts.get(order.orderId());
        if (attempt.outcome.isPresent() || now < attempt.nextSendNanos) {
            return Optional.empty();
        }
        return observation
                .current(order.target())
                .filter(announcement -> announcement.incarnation() == order.targetIncarnation());
    }

    /** Returns whether the target has confirmed that it executes the order. */
    boolean isAccepted(String orderId) {
        return attempts.get(orderId).accepted;
    }

    /** Returns whether the order may take effect now; an unload only while another target serves the model. */
    boolean isSafe(Observation observation, OpenOrder order, Rules rules, long now) {
        if (order.kind() != OrderKind.UNLOAD_MODEL || !rules.models().containsKey(order.model())) {
            return true;
        }
        if (isServedElsewhere(observation, order, now)) {
            return true;
        }
        // A target that still does not serve the model after the time to live has no ready copy that the unload could
        // remove.
        Optional<TargetAnnouncement> target = observation.current(order.target());
        return target.isPresent()
                && !target.get().isReadyFor(order.model())
                && now - attempts.get(order.orderId()).firstSeenNanos > expiryNanos(target.get());
    }

    /** Records that the order, or a request for its outcome, was sent. */
    void sent(String orderId, long now) {
        Attempt attempt = attempts.get(orderId);
        attempt.nextSendNanos = now + settings.resendInterval().toNanos();
    }

    /**
     * Processes a response of the target.
     *
     * @return time after which to process the order again
     */
    Duration responseReceived(String orderId, Optional<OrderOutcome> outcome, long now) {
        Attempt attempt = attempts.get(orderId);
        if (attempt == null || attempt.outcome.isPresent()) {
            return settings.resendInterval();
        }
        attempt.accepted = true;
        attempt.outcome = outcome;
        if (outcome.isPresent()) {
            return Duration.ZERO;
        }
        // The poll interval grows with the age of the order, so that a load of seconds is polled less often than one of
        // milliseconds.
        long pollDelay = Math.min(
                settings.resendInterval().toNanos(), Math.max(FIRST_POLL_NANOS, (now - attempt.firstSeenNanos) / 4));
        attempt.nextSendNanos = now + pollDelay;
        return Duration.ofNanos(pollDelay);
    }

    /** Returns the time since this controller first saw the order open. */
    Duration age(String orderId, long now) {
        return Duration.ofNanos(now - attempts.get(orderId).firstSeenNanos);
    }

    /** Marks the postponement of the order as logged; returns whether it was the first one. */
    boolean isFirstPostponement(String orderId) {
        Attempt attempt = attempts.get(orderId);
        boolean first = !attempt.postponementLogged;
        attempt.postponementLogged = true;
        return first;
    }

    /** Returns whether the announcement was certainly made after the last order at the target had ended. */
    boolean isFresh(TargetAnnouncement announcement, long now) {
        return now - lastOpenNanos.getOrDefault(announcement.id(), startedNanos) > expiryNanos(announcement);
    }

    private boolean isServedElsewhere(Observation observation, OpenOrder order, long now) {
        return observation.announcements().stream()
                .filter(announcement -> !announcement.id().equals(order.target()))
                .filter(announcement -> announcement.isReadyFor(order.model()) && !announcement.leaving())
                .anyMatch(announcement -> keepsServing(observation, announcement, order, now));
    }

    private boolean keepsServing(Observation observation, TargetAnnouncement announcement, OpenOrder order, long now) {
        Optional<LedgerRow> row =
                observation.current(announcement.id()).flatMap(current -> observation.row(current.id()));
        long lastUnload =
                lastUnloadNanos.getOrDefault(announcement.id(), Map.of()).getOrDefault(order.model(), startedNanos);
        return row.isPresent()
                && row.get().occupiedBytes(order.model()).isPresent()
                && now - lastUnload > expiryNanos(announcement)
                && row.get().openOrders().stream()
                        .filter(other -> other.model().equals(order.model()))
                        .allMatch(other -> isUnload(other) && other.fencingNumber() > order.fencingNumber());
    }

    private static long expiryNanos(TargetAnnouncement announcement) {
        return Duration.ofMillis(announcement.timeToLiveMillis()).toNanos() + MARGIN_NANOS;
    }

    private static boolean isUnload(OpenOrder order) {
        return order.kind() == OrderKind.UNLOAD_MODEL || order.kind() == OrderKind.UNLOAD_ADAPTER;
    }

    static Order toTargetOrder(OpenOrder order) {
        return new Order(
                order.orderId(), order.fencingNumber(), order.kind(), order.model(), order.version(), order.bytes());
    }

    /** Returns the ids of the tracked orders. */
    Set<String> orderIds() {
        return attempts.keySet();
    }

    /** State of one open order. */
    private static final class Attempt {
        private final long firstSeenNanos;
        private long nextSendNanos;
        private boolean accepted;
        private boolean recording;
        private boolean postponementLogged;
        private Optional<OrderOutcome> outcome = Optional.empty();

        private Attempt(long now) {
            firstSeenNanos = now;
            nextSendNanos = now;
        }
    }
}
