package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.placement.TargetOrders.Order;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.control.OrderOutcome;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Follows the open orders of the ledger, those of earlier controllers included, until their outcome is recorded. Not
 * thread safe; guarded by the controller.
 *
 * <p>An order is sent only to the incarnation it was intended for. If the target has restarted since, the order can
 * have no effect any more, and what the new incarnation holds is in the ledger; so it counts as failed.
 *
 * <p>An unload is sent only while another target serves the model. Two controllers may each have intended to unload one
 * of two copies. A copy that an order with a lower fencing number unloads does not count, so the controller of the
 * later order sees the earlier one in its ledger and holds back.
 */
final class OrderTracker {
    /** Margin on the time to live, for the time between two looks at the announcements. */
    static final long MARGIN_NANOS = Duration.ofSeconds(1).toNanos();

    private static final long FIRST_POLL_NANOS = Duration.ofMillis(5).toNanos();

    private final PlacementSettings settings;
    private final long startedNanos;
    private final Map<String, Attempt> attempts = new HashMap<>();
    private final Map<TargetId, Long> busyNanos = new HashMap<>();
    private final Map<TargetId, Map<ModelId, Long>> unloadedNanos = new HashMap<>();

    OrderTracker(PlacementSettings settings, long startedNanos) {
        this.settings = settings;
        this.startedNanos = startedNanos;
    }

    /** Takes note of the open orders. To be called before the other methods with the same observation. */
    void look(Observation observation, long now) {
        Map<String, OpenOrder> open = observation.openOrders();
        attempts.keySet().retainAll(open.keySet());
        open.values().forEach(order -> {
            attempts.computeIfAbsent(order.orderId(), absent -> new Attempt(now));
            busyNanos.put(order.target(), now);
            if (isUnload(order)) {
                unloadedNanos
                        .computeIfAbsent(order.target(), absent -> new HashMap<>())
                        .put(order.model(), now);
            }
        });
    }

    /** Returns the outcome to record now, if it is known and not being recorded. */
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

    /** Returns the target to send the order to, or to ask about it, if that is due. */
    Optional<TargetAnnouncement> recipient(Observation observation, OpenOrder order, long now) {
        Attempt attempt = attempts.get(order.orderId());
        if (attempt.outcome.isPresent() || now < attempt.nextNanos) {
            return Optional.empty();
        }
        return observation
                .current(order.target())
                .filter(announcement -> announcement.incarnation() == order.targetIncarnation());
    }

    /** Returns whether the target has said that it is at work on the order. */
    boolean isAccepted(String orderId) {
        return attempts.get(orderId).accepted;
    }

    /** Returns whether the order may take effect now; an unload only while another target serves the model. */
    boolean isSafe(Observation observation, OpenOrder order, Rules rules, long now) {
        if (order.kind() != OrderKind.UNLOAD_MODEL || !rules.models().containsKey(order.model())) {
            return true;
        }
        if (hasSurvivor(observation, order, now)) {
            return true;
        }
        // A target that still does not serve the model after the time to live has nothing to lose.
        Optional<TargetAnnouncement> target = observation.current(order.target());
        return target.isPresent()
                && !target.get().isReadyFor(order.model())
                && now - attempts.get(order.orderId()).seenNanos > expiryNanos(target.get());
    }

    /** Marks the order as sent, or the target as asked. */
    void sent(String orderId, long now) {
        Attempt attempt = attempts.get(orderId);
        attempt.nextNanos = now + settings.repeatAfter().toNanos();
    }

    /**
     * Takes an answer of the target.
     *
     * @return time after which to look at the order again
     */
    Duration answered(String orderId, Optional<OrderOutcome> outcome, long now) {
        Attempt attempt = attempts.get(orderId);
        if (attempt == null || attempt.outcome.isPresent()) {
            return settings.repeatAfter();
        }
        attempt.accepted = true;
        attempt.outcome = outcome;
        if (outcome.isPresent()) {
            return Duration.ZERO;
        }
        // A load of seconds is asked for less often than one of milliseconds.
        long pause =
                Math.min(settings.repeatAfter().toNanos(), Math.max(FIRST_POLL_NANOS, (now - attempt.seenNanos) / 4));
        attempt.nextNanos = now + pause;
        return Duration.ofNanos(pause);
    }

    /** Returns the time since this controller first saw the order open. */
    Duration age(String orderId, long now) {
        return Duration.ofNanos(now - attempts.get(orderId).seenNanos);
    }

    /** Notes that a hold was reported; returns whether it was the first time. */
    boolean holdNoted(String orderId) {
        Attempt attempt = attempts.get(orderId);
        boolean first = !attempt.holdNoted;
        attempt.holdNoted = true;
        return first;
    }

    /** Returns whether the announcement was surely made after the last order at the target had ended. */
    boolean isSettled(TargetAnnouncement announcement, long now) {
        return now - busyNanos.getOrDefault(announcement.id(), startedNanos) > expiryNanos(announcement);
    }

    private boolean hasSurvivor(Observation observation, OpenOrder order, long now) {
        return observation.announcements().stream()
                .filter(announcement -> !announcement.id().equals(order.target()))
                .filter(announcement -> announcement.isReadyFor(order.model()) && !announcement.leaving())
                .anyMatch(announcement -> survives(observation, announcement, order, now));
    }

    private boolean survives(Observation observation, TargetAnnouncement announcement, OpenOrder order, long now) {
        Optional<LedgerRow> row =
                observation.current(announcement.id()).flatMap(current -> observation.row(current.id()));
        long unloaded =
                unloadedNanos.getOrDefault(announcement.id(), Map.of()).getOrDefault(order.model(), startedNanos);
        return row.isPresent()
                && row.get().heldBytes(order.model()).isPresent()
                && now - unloaded > expiryNanos(announcement)
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

    static Order message(OpenOrder order) {
        return new Order(
                order.orderId(), order.fencingNumber(), order.kind(), order.model(), order.version(), order.bytes());
    }

    /** Returns the ids followed. */
    Set<String> orderIds() {
        return attempts.keySet();
    }

    /** What is known of one open order. */
    private static final class Attempt {
        private final long seenNanos;
        private long nextNanos;
        private boolean accepted;
        private boolean recording;
        private boolean holdNoted;
        private Optional<OrderOutcome> outcome = Optional.empty();

        private Attempt(long now) {
            seenNanos = now;
            nextNanos = now;
        }
    }
}
