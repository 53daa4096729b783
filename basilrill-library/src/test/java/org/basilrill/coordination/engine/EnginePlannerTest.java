package org.basilrill.coordination.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.state.configuration.EnginePool;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineOrder.Action;
import org.basilrill.state.target.EngineOrder.Answer;
import org.basilrill.state.target.EngineReport;
import org.junit.jupiter.api.Test;

/** Guards what engines are ordered under the patterns of load and failure that the days of a site bring. */
class EnginePlannerTest extends EnginePlanning {
    /** Pattern: an adapter is asked for that no engine holds. */
    @Test
    void aWaitingAdapterGoesToTheLeastLoadedEngineWithItsModel() {
        engine("busy", HOT, WARM);
        EngineState idle = engine("idle", HOT, RARE);
        engine("other", WARM, RARE);
        wish(WARM, 10_000, 0);
        ModelId adapter = new ModelId("hot/a1");
        wish(adapter, 50, 1);
        assertThat(plan(), hasItem(new PlannedOrder(idle, Action.LOAD, adapter)));
    }

    /** Pattern: more adapters are asked for at once than the slots hold; each must be used before it makes way. */
    @Test
    void anAdapterThatWasJustLoadedDoesNotMakeWay() {
        ModelId first = new ModelId("hot/a1");
        EngineState engine = engine("one", HOT, WARM, new ModelId("hot/a8"), new ModelId("hot/a9"));
        wish(first, 0, 1);
        assertThat(plan(), is(List.of(new PlannedOrder(engine, Action.LOAD, first))));
        engine.asked();
        engine.answered(new EngineOrder(Action.LOAD, first, 1, 7), Answer.ACCEPTED, NOW, 0);
        wish(first, 0, 0);
        wish(new ModelId("hot/a2"), 1_000, 1);
        wish(new ModelId("hot/a8"), 500, 0);
        wish(new ModelId("hot/a9"), 400, 0);
        List<PlannedOrder> next = plan();
        assertThat(next, not(hasItem(new PlannedOrder(engine, Action.UNLOAD, first))));
        assertThat(next, is(List.of(new PlannedOrder(engine, Action.UNLOAD, new ModelId("hot/a9")))));
    }

    /** Pattern: all slots are in use; an engine that waits for runs to end takes no order for anything else. */
    @Test
    void anAdapterInUseDoesNotMakeWayForOneThatIsAskedForAsOften() {
        engine("one", HOT, WARM, new ModelId("hot/a7"), new ModelId("hot/a8"), new ModelId("hot/a9"));
        List.of("hot/a7", "hot/a8", "hot/a9").forEach(adapter -> wish(new ModelId(adapter), 500, 0));
        wish(new ModelId("hot/a1"), 500, 1);
        assertThat(plan(), empty());
        wish(new ModelId("hot/a8"), 20, 0);
        assertThat(plan().get(0).model(), is(new ModelId("hot/a8")));
    }

    /** Pattern: more adapters of a hot model are in use than its copies have slots; another copy brings more slots. */
    @Test
    void aModelWhoseAdaptersLackSlotsGetsAnotherCopy() {
        engine("one", HOT, WARM, new ModelId("hot/a7"), new ModelId("hot/a8"), new ModelId("hot/a9"));
        EngineState roomy = engine("two", WARM);
        engine("three", WARM, RARE);
        List.of("hot/a7", "hot/a8", "hot/a9").forEach(adapter -> wish(new ModelId(adapter), 500, 0));
        assertThat(plan(), empty());
        wish(new ModelId("hot/a1"), 500, 1);
        assertThat(plan(), is(List.of(new PlannedOrder(roomy, Action.LOAD, HOT))));
    }

    /** Pattern: an engine has just loaded a model whose adapters are waited for, and another model is missing. */
    @Test
    void adaptersThatRequestsWaitForAreLoadedBeforeTheNextModel() {
        EngineState engine = engine("one", HOT);
        wish(new ModelId("hot/a1"), 500, 1);
        wish(RARE, 100, 1);
        assertThat(plan(), is(List.of(new PlannedOrder(engine, Action.LOAD, new ModelId("hot/a1")))));
    }

    /** Pattern: an engine crashes and comes back empty, with copies on its disk. */
    @Test
    void anEngineThatRestartedIsFilledFromItsDiskWithoutTheWeightStore() {
        engine("one", HOT, WARM);
        engine("two", HOT, RARE);
        EngineState restarted = engine("three", Set.of(HOT, WARM));
        wish(HOT, 9000, 0);
        assertThat(plan(0, NOW), is(List.of(new PlannedOrder(restarted, Action.LOAD, HOT))));
    }

    /** Pattern: the only copy of a rare model is lost with its engine while the others are full. */
    @Test
    void aModelWithoutACopyTakesThePlaceOfASecondCopyAndNeverOfALastOne() {
        EngineState first = engine("one", HOT, WARM);
        engine("two", HOT, new ModelId("warm"));
        wish(HOT, 9000, 0);
        wish(RARE, 0, 2);
        List<PlannedOrder> orders = plan();
        assertThat(orders.size(), is(1));
        assertThat(orders.get(0).action(), is(Action.UNLOAD));
        assertThat(orders.get(0).model(), is(WARM));
        engines().remove(first);
        assertThat("only last copies are left", plan(), empty());
    }

    /** Pattern: the demand moves to another model while every place is taken by last copies. */
    @Test
    void anIdleModelThatIsAtHandMakesWayForAHotOne() {
        engine("one", HOT);
        EngineState idle = engine("two", Set.of(WARM, RARE), WARM, RARE);
        wish(HOT, 20_000, 0);
        wish(WARM, 5000, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(idle, Action.UNLOAD, RARE))));
        wish(RARE, 0, 1);
        assertThat("somebody waits for it", plan(), not(hasItem(new PlannedOrder(idle, Action.UNLOAD, RARE))));
    }

    /** Pattern: the leader has changed, and not all engines have told their state yet. */
    @Test
    void whatAnEngineAnnouncesCountsUntilItReports() {
        engine("one", WARM);
        engines().add(new EngineState(announcement("two", HOT, RARE), NOW));
        assertThat(plan(), empty());
    }

    /** Pattern: the demand for one model jumps. */
    @Test
    void aHotModelGetsAnotherCopyWhereMemoryIsFree() {
        engine("one", HOT, WARM);
        EngineState roomy = engine("two", RARE);
        wish(HOT, 9000, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(roomy, Action.LOAD, HOT))));
        assertThat("the weight store is exhausted", plan(0, NOW), empty());
    }

    /** Pattern: the demand is even, so a move would cost loads and gain nothing. */
    @Test
    void evenDemandMovesNothing() {
        engine("one", HOT, WARM);
        engine("two", HOT, RARE);
        engine("three", WARM, RARE);
        List.of(HOT, WARM, RARE).forEach(model -> wish(model, 3000, 0));
        assertThat(plan(), empty());
    }

    /** Pattern: several models lost their copies, and the store allows one load; most callers want the hot one. */
    @Test
    void ofTheModelsThatRequestsWaitForTheOneInMostDemandIsLoadedFirst() {
        EngineState empty = engine("one");
        wish(RARE, 20, 3);
        wish(HOT, 9000, 1);
        assertThat(plan(1, NOW), is(List.of(new PlannedOrder(empty, Action.LOAD, HOT))));
    }

    /** Pattern: traffic has just begun, and the first few requests happen to be for one model. */
    @Test
    void theFirstMomentsOfDemandMoveNoModel() {
        engine("one", HOT, WARM);
        engine("two", WARM, RARE);
        wish(HOT, 3000, 0);
        wish(WARM, 300, 0);
        assertThat(plan(), empty());
    }

    /** Pattern: room was made for a hot model, and a model that is at hand there takes it before the load begins. */
    @Test
    void roomThatIsBeingMadeIsKeptForTheModelThatItIsMadeFor() {
        EngineState engine = engine("one", Set.of(RARE), WARM);
        engine.reserveFor(HOT);
        engine.asked();
        wish(RARE, 500, 2);
        wish(WARM, 500, 0);
        assertThat(plan(), empty());
        engine.reported(Optional.of(new EngineReport(Set.of(WARM), Set.of(), Set.of(RARE), false, 8)), NOW, 0);
        wish(HOT, 9000, 0);
        assertThat(plan(), hasItem(new PlannedOrder(engine, Action.LOAD, HOT)));
    }

    /** Pattern: several models want another copy at once, more than the weight store allows to load. */
    @Test
    void noRoomIsMadeForLoadsThatTheWeightStoreDoesNotAllow() {
        for (String id : List.of("one", "two", "three", "four")) {
            engine(id, WARM, RARE);
        }
        wish(HOT, 20_000, 5);
        assertThat(plan(0, NOW), empty());
        List<PlannedOrder> orders = plan(1, NOW);
        assertThat(orders.size(), is(1));
        orders.get(0).engine().asked();
        assertThat("the one load is spoken for", plan(1, NOW), empty());
    }

    /** Pattern: demand jumps to a model that some engines have on their disk, where it loads much faster. */
    @Test
    void anotherCopyGoesWhereTheModelIsAtHand() {
        engine("one", HOT, RARE);
        engine("two", WARM, RARE);
        EngineState quick = engine("three", Set.of(HOT), WARM, RARE);
        wish(HOT, 30_000, 0);
        wish(WARM, 300, 0);
        wish(RARE, 100, 0);
        assertThat(plan().get(0).engine(), is(quick));
    }

    /** Pattern: callers wait for a model that loads for longer than they stay; they are told to come back. */
    @Test
    void theForecastCountsDownWhileAModelLoads() {
        EngineState engine = engine("one", WARM);
        assertThat(forecast(HOT, NOW), is(Duration.ofSeconds(3)));
        engine.asked();
        engine.answered(new EngineOrder(Action.LOAD, HOT, 1, 7), Answer.ACCEPTED, NOW, 0);
        long later = NOW + Duration.ofSeconds(2).toNanos();
        assertThat(forecast(HOT, later), is(Duration.ofSeconds(1)));
        assertThat("an adapter waits for its model", forecast(new ModelId("hot/a1"), later), is(Duration.ofSeconds(1)));
    }

    /** Pattern: the model comes from the engine's own disk, so callers had better wait. */
    @Test
    void theForecastIsShortForAModelAtHandAndAbsentForAReadyOne() {
        engine("one", Set.of(HOT), WARM);
        assertThat(forecast(HOT, NOW), is(Duration.ofMillis(600)));
        EnginePool pool = rules().enginePools().get(POOL);
        assertThat(
                EngineForecast.untilReady(pool, engines(), List.of(WARM), NOW).isEmpty(), is(true));
    }

    private Duration forecast(ModelId model, long now) {
        EnginePool pool = rules().enginePools().get(POOL);
        return EngineForecast.untilReady(pool, engines(), List.of(model), now).get(model);
    }

    @Test
    void noOrderOvercommitsAnEngine() {
        engine("one", Set.of(HOT, WARM, RARE), HOT);
        engine("two", HOT, WARM);
        engine("three", Set.of(HOT, WARM, RARE));
        List.of(HOT, WARM, RARE).forEach(model -> wish(model, 5000, 1));
        for (int round = 0; round < 10; round++) {
            for (PlannedOrder order : plan(9, NOW + round)) {
                long expected = order.engine().expectedOrders();
                order.engine().asked();
                order.engine()
                        .answered(new EngineOrder(order.action(), order.model(), 1, expected), Answer.ACCEPTED, NOW, 0);
            }
            List<Long> used =
                    engines().stream().map(engine -> engine.usedBytes(rules())).toList();
            assertThat(used, everyItem(lessThanOrEqualTo(100L)));
        }
    }

    /** Pattern: an order's answer is lost and it is carried out late, after others. */
    @Test
    void anOrderWithoutAnAnswerIsFollowedByAReportBeforeTheNextOrder() {
        EngineState engine = engine("one", HOT);
        engine.asked();
        engine.answered(new EngineOrder(Action.LOAD, WARM, 1, 7), Answer.UNKNOWN, NOW, 100);
        assertThat(engine.isFree(NOW + 200), is(false));
        assertThat(engine.needsReport(NOW + 50), is(false));
        assertThat(engine.needsReport(NOW + 200), is(true));
    }

    @Test
    void anEngineThatSawALaterLeaderGetsNoMoreOrders() {
        EngineState engine = engine("one", HOT);
        engine.asked();
        engine.answered(new EngineOrder(Action.LOAD, WARM, 1, 7), Answer.FENCED, NOW, 0);
        wish(WARM, 0, 1);
        assertThat(plan(9, NOW + Duration.ofMinutes(1).toNanos()), empty());
        assertThat(engine.needsReport(NOW + Duration.ofMinutes(1).toNanos()), is(false));
    }
}
