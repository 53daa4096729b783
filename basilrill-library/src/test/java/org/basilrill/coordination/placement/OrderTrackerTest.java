package org.basilrill.coordination.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.Announcements;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.OrderKind;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.LedgerRow.Holding;
import org.basilrill.state.ledger.LedgerRow.OpenOrder;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.Test;

/** Guards against unloading the last copy when controllers decide concurrently or from outdated announcements. */
class OrderTrackerTest {
    private static final ModelId MODEL = new ModelId("medal-match");
    private static final long NOW = Duration.ofHours(2).toNanos();
    private static final Rules RULES = new Rules(
            1,
            Map.of(),
            Map.of(),
            Map.of(),
            Map.of(MODEL, new Rules.Model(MODEL, 1, 1, 2, 1, 5)),
            Map.of(),
            Map.of(),
            List.of(),
            Rules.StoreLimits.defaults());

    private final OrderTracker tracker = new OrderTracker(PlacementSettings.defaults(), 0);

    @Test
    void onlyEarlierOfTwoUnloadsOfLastCopiesIsSafe() {
        OpenOrder earlier = unload("a", 10);
        OpenOrder later = unload("b", 20);
        Observation observation = observe(row("a", true, earlier), row("b", true, later));
        tracker.update(observation, NOW);
        // Both were first seen at NOW. The announcements are valid for an hour, so the check runs later than that.
        long afterExpiry = 2 * NOW;

        assertThat(tracker.isSafe(observation, later, RULES, afterExpiry), is(false));
        assertThat(tracker.isSafe(observation, earlier, RULES, afterExpiry), is(true));
    }

    @Test
    void copyMissingFromLedgerDoesNotPermitUnload() {
        OpenOrder order = unload("a", 10);
        Observation notInLedger = observe(row("a", true, order), row("b", false));
        Observation inLedger = observe(row("a", true, order), row("b", true));
        tracker.update(notInLedger, NOW);

        assertThat(tracker.isSafe(notInLedger, order, RULES, NOW), is(false));
        assertThat(tracker.isSafe(inLedger, order, RULES, NOW), is(true));
    }

    @Test
    void announcementFromBeforeEndOfOrderDoesNotUpdateLedger() {
        Observation withOpenOrder = observe(row("a", true, unload("a", 10)));
        TargetAnnouncement announcement =
                withOpenOrder.announcements().iterator().next();
        tracker.update(withOpenOrder, NOW);

        assertThat(tracker.isFresh(announcement, NOW + 1), is(false));
        assertThat(observe(row("a", false)).ledgerUpdate(announcement, false), is(Optional.empty()));
        assertThat(observe(row("a", false)).ledgerUpdate(announcement, true).isPresent(), is(true));
        assertThat(tracker.isFresh(announcement, NOW + NOW), is(true));
    }

    private static Observation observe(LedgerRow... rows) {
        List<TargetAnnouncement> announcements = List.of(rows).stream()
                .map(row -> Announcements.engine(row.target().value(), 1, MODEL.value()))
                .toList();
        return new Observation(List.of(rows), announcements);
    }

    private static LedgerRow row(String target, boolean hasHolding, OpenOrder... orders) {
        List<Holding> holdings = hasHolding ? List.of(new Holding(MODEL, 1, 1)) : List.of();
        return new LedgerRow(new TargetId(target), 1, 1, true, holdings, List.of(orders));
    }

    private static OpenOrder unload(String target, long fencingNumber) {
        return new OpenOrder(
                "order-" + target, new TargetId(target), 1, fencingNumber, OrderKind.UNLOAD_MODEL, MODEL, 1, 0);
    }
}
