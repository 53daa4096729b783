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

/** Guards against the loss of the last copy to controllers that decide at the same time or from old announcements. */
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
    void ofTwoUnloadsOfTheLastTwoCopiesOnlyTheEarlierIsSafe() {
        OpenOrder earlier = unload("a", 10);
        OpenOrder later = unload("b", 20);
        Observation observation = observe(row("a", true, earlier), row("b", true, later));
        tracker.look(observation, NOW);
        // Both were first seen at NOW. The announcements live for an hour, so a look later than that counts.
        long then = 2 * NOW;

        assertThat(tracker.isSafe(observation, later, RULES, then), is(false));
        assertThat(tracker.isSafe(observation, earlier, RULES, then), is(true));
    }

    @Test
    void aCopyThatTheLedgerDoesNotHoldJustifiesNoUnload() {
        OpenOrder order = unload("a", 10);
        Observation announced = observe(row("a", true, order), row("b", false));
        Observation held = observe(row("a", true, order), row("b", true));
        tracker.look(announced, NOW);

        assertThat(tracker.isSafe(announced, order, RULES, NOW), is(false));
        assertThat(tracker.isSafe(held, order, RULES, NOW), is(true));
    }

    @Test
    void anAnnouncementFromBeforeTheEndOfAnOrderCorrectsNothing() {
        Observation open = observe(row("a", true, unload("a", 10)));
        TargetAnnouncement announcement = open.announcements().iterator().next();
        tracker.look(open, NOW);

        assertThat(tracker.isSettled(announcement, NOW + 1), is(false));
        assertThat(observe(row("a", false)).correction(announcement, false), is(Optional.empty()));
        assertThat(observe(row("a", false)).correction(announcement, true).isPresent(), is(true));
        assertThat(tracker.isSettled(announcement, NOW + NOW), is(true));
    }

    private static Observation observe(LedgerRow... rows) {
        List<TargetAnnouncement> announcements = List.of(rows).stream()
                .map(row -> Announcements.engine(row.target().value(), 1, MODEL.value()))
                .toList();
        return new Observation(List.of(rows), announcements);
    }

    private static LedgerRow row(String target, boolean holds, OpenOrder... orders) {
        List<Holding> holdings = holds ? List.of(new Holding(MODEL, 1, 1)) : List.of();
        return new LedgerRow(new TargetId(target), 1, 1, true, holdings, List.of(orders));
    }

    private static OpenOrder unload(String target, long fencingNumber) {
        return new OpenOrder(
                "order-" + target, new TargetId(target), 1, fencingNumber, OrderKind.UNLOAD_MODEL, MODEL, 1, 0);
    }
}
