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
import org.basilrill.state.target.EngineOrder.Response;
import org.basilrill.state.target.EngineReport;
import org.junit.jupiter.api.Test;

/** Tests the orders to engines under typical patterns of load and failure; each test names the pattern. */
class EnginePlannerTest extends EnginePlannerFixture {
    /** A request is queued for an adapter that no engine has loaded. */
    @Test
    void anAdapterInDemandIsLoadedOnTheLeastLoadedEngineWithItsModel() {
        engine("busy", HOT, WARM);
        EngineState idle = engine("idle", HOT, RARE);
        engine("other", WARM, RARE);
        setDemand(WARM, 10_000, 0);
        ModelId adapter = new ModelId("hot/a1");
        setDemand(adapter, 50, 1);
        assertThat(plan(), hasItem(new PlannedOrder(idle, Action.LOAD, adapter)));
    }

    /** More adapters are requested at once than there are slots. Each adapter must be used before it is evicted. */
    @Test
    void anAdapterThatWasJustLoadedIsNotEvicted() {
        ModelId first = new ModelId("hot/a1");
        EngineState engine = engine("one", HOT, WARM, new ModelId("hot/a8"), new ModelId("hot/a9"));
        setDemand(first, 0, 1);
        assertThat(plan(), is(List.of(new PlannedOrder(engine, Action.LOAD, first))));
        engine.requestSent();
        engine.orderResponseReceived(new EngineOrder(Action.LOAD, first, 1, 7), Response.ACCEPTED, NOW, 0);
        setDemand(first, 0, 0);
        setDemand(new ModelId("hot/a2"), 1_000, 1);
        setDemand(new ModelId("hot/a8"), 500, 0);
        setDemand(new ModelId("hot/a9"), 400, 0);
        List<PlannedOrder> next = plan();
        assertThat(next, not(hasItem(new PlannedOrder(engine, Action.UNLOAD, first))));
        assertThat(next, is(List.of(new PlannedOrder(engine, Action.UNLOAD, new ModelId("hot/a9")))));
    }

    /** All slots are in use. An engine that waits for running requests to end accepts no other order. */
    @Test
    void anAdapterInUseIsNotEvictedForOneWithEqualDemand() {
        engine("one", HOT, WARM, new ModelId("hot/a7"), new ModelId("hot/a8"), new ModelId("hot/a9"));
        List.of("hot/a7", "hot/a8", "hot/a9").forEach(adapter -> setDemand(new ModelId(adapter), 500, 0));
        setDemand(new ModelId("hot/a1"), 500, 1);
        assertThat(plan(), empty());
        setDemand(new ModelId("hot/a8"), 20, 0);
        assertThat(plan().get(0).model(), is(new ModelId("hot/a8")));
    }

    /** More adapters of a hot model are in use than its copies have slots. Another copy adds slots. */
    @Test
    void aModelWhoseAdaptersLackSlotsGetsAnotherCopy() {
        engine("one", HOT, WARM, new ModelId("hot/a7"), new ModelId("hot/a8"), new ModelId("hot/a9"));
        EngineState withFreeMemory = engine("two", WARM);
        engine("three", WARM, RARE);
        List.of("hot/a7", "hot/a8", "hot/a9").forEach(adapter -> setDemand(new ModelId(adapter), 500, 0));
        assertThat(plan(), empty());
        setDemand(new ModelId("hot/a1"), 500, 1);
        assertThat(plan(), is(List.of(new PlannedOrder(withFreeMemory, Action.LOAD, HOT))));
    }

    /**
     * The only copy of a model is on an engine that accepts fewer requests per second than are queued for it. Another
     * engine must serve the others.
     */
    @Test
    void aModelWhoseOnlyEngineAcceptsTooFewRequestsGetsACopyOnAnotherEngine() {
        EngineState limited = engine("limited", WARM);
        EngineState withFreeMemory = engine("free", HOT);
        engine("full", HOT, RARE);
        setDemand(WARM, 1_000, 0);
        assertThat(plan(), empty());
        limited.setOverLimit(true);
        assertThat(plan(), is(List.of(new PlannedOrder(withFreeMemory, Action.LOAD, WARM))));
    }

    /** A model without a copy must not be placed where hardly any request is accepted. */
    @Test
    void aMissingModelIsNotPlacedOnAnEngineThatAcceptsTooFewRequests() {
        engine("limited").setOverLimit(true);
        EngineState other = engine("other", HOT);
        setDemand(HOT, 1_000, 0);
        setDemand(WARM, 1_000, 1);
        assertThat(plan(), hasItem(new PlannedOrder(other, Action.LOAD, WARM)));
    }

    /** An engine has just loaded a model whose adapters have queued requests, and another model is missing. */
    @Test
    void adaptersThatRequestsWaitForAreLoadedBeforeTheNextModel() {
        EngineState engine = engine("one", HOT);
        setDemand(new ModelId("hot/a1"), 500, 1);
        setDemand(RARE, 100, 1);
        assertThat(plan(), is(List.of(new PlannedOrder(engine, Action.LOAD, new ModelId("hot/a1")))));
    }

    /** An engine restarts after a crash without resident models, but with weights on its disk. */
    @Test
    void anEngineThatRestartedIsFilledFromItsDiskWithoutTheWeightStore() {
        engine("one", HOT, WARM);
        engine("two", HOT, RARE);
        EngineState restarted = engine("three", Set.of(HOT, WARM));
        setDemand(HOT, 9000, 0);
        assertThat(plan(0, NOW), is(List.of(new PlannedOrder(restarted, Action.LOAD, HOT))));
    }

    /** The only copy of a rare model is lost with its engine while the other engines are full. */
    @Test
    void aModelWithoutACopyReplacesASecondCopyAndNeverALastOne() {
        EngineState first = engine("one", HOT, WARM);
        engine("two", HOT, new ModelId("warm"));
        setDemand(HOT, 9000, 0);
        setDemand(RARE, 0, 2);
        List<PlannedOrder> orders = plan();
        assertThat(orders.size(), is(1));
        assertThat(orders.get(0).action(), is(Action.UNLOAD));
        assertThat(orders.get(0).model(), is(WARM));
        engines().remove(first);
        assertThat("only last copies are left", plan(), empty());
    }

    /** The demand shifts to another model while the memory of all engines is used by last copies. */
    @Test
    void anIdleModelWithLocalWeightsIsEvictedForAHotOne() {
        engine("one", HOT);
        EngineState idle = engine("two", Set.of(WARM, RARE), WARM, RARE);
        setDemand(HOT, 20_000, 0);
        setDemand(WARM, 5000, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(idle, Action.UNLOAD, RARE))));
        setDemand(RARE, 0, 1);
        assertThat("a request is queued for it", plan(), not(hasItem(new PlannedOrder(idle, Action.UNLOAD, RARE))));
    }

    /** The leader has changed, and not all engines have sent their reports yet. */
    @Test
    void announcedModelsCountUntilTheEngineReports() {
        engine("one", WARM);
        engines().add(new EngineState(announcement("two", HOT, RARE), NOW));
        assertThat(plan(), empty());
    }

    /** The demand for one model rises sharply. */
    @Test
    void aHotModelGetsAnotherCopyWhereMemoryIsFree() {
        engine("one", HOT, WARM);
        EngineState withFreeMemory = engine("two", RARE);
        setDemand(HOT, 9000, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(withFreeMemory, Action.LOAD, HOT))));
        assertThat("the weight store is exhausted", plan(0, NOW), empty());
    }

    /** The demand is even: moving a model would cost loads without a gain. */
    @Test
    void evenDemandMovesNothing() {
        engine("one", HOT, WARM);
        engine("two", HOT, RARE);
        engine("three", WARM, RARE);
        List.of(HOT, WARM, RARE).forEach(model -> setDemand(model, 3000, 0));
        assertThat(plan(), empty());
    }

    /**
     * Several models have lost their copies and the weight store allows one load. Most requests are for the hot model.
     */
    @Test
    void ofTheModelsThatRequestsWaitForTheOneInMostDemandIsLoadedFirst() {
        EngineState empty = engine("one");
        setDemand(RARE, 20, 3);
        setDemand(HOT, 9000, 1);
        assertThat(plan(1, NOW), is(List.of(new PlannedOrder(empty, Action.LOAD, HOT))));
    }

    /** The traffic has just begun, and the first few requests happen to be for one model. */
    @Test
    void demandOfTheFirstSecondsMovesNoModel() {
        engine("one", HOT, WARM);
        engine("two", WARM, RARE);
        setDemand(HOT, 3000, 0);
        setDemand(WARM, 300, 0);
        assertThat(plan(), empty());
    }

    /**
     * Memory was freed for a hot model; a model with local weights must not use that memory before the load begins.
     */
    @Test
    void freedMemoryStaysReservedForItsModel() {
        EngineState engine = engine("one", Set.of(RARE), WARM);
        engine.reserveFor(HOT);
        engine.requestSent();
        setDemand(RARE, 500, 2);
        setDemand(WARM, 500, 0);
        assertThat(plan(), empty());
        engine.reportReceived(Optional.of(new EngineReport(Set.of(WARM), Set.of(), Set.of(RARE), false, 8)), NOW, 0);
        setDemand(HOT, 9000, 0);
        assertThat(plan(), hasItem(new PlannedOrder(engine, Action.LOAD, HOT)));
    }

    /** Several models need another copy at once, more than the weight store may load. */
    @Test
    void noCopyIsEvictedForLoadsBeyondTheWeightStoreLimit() {
        for (String id : List.of("one", "two", "three", "four")) {
            engine(id, WARM, RARE);
        }
        setDemand(HOT, 20_000, 5);
        assertThat(plan(0, NOW), empty());
        List<PlannedOrder> orders = plan(1, NOW);
        assertThat(orders.size(), is(1));
        orders.get(0).engine().requestSent();
        assertThat("the only allowed load is reserved", plan(1, NOW), empty());
    }

    /** The demand rises for a model that some engines have on their disk, from which it loads much faster. */
    @Test
    void anotherCopyIsLoadedWhereTheWeightsAreLocal() {
        engine("one", HOT, RARE);
        engine("two", WARM, RARE);
        EngineState withLocalWeights = engine("three", Set.of(HOT), WARM, RARE);
        setDemand(HOT, 30_000, 0);
        setDemand(WARM, 300, 0);
        setDemand(RARE, 100, 0);
        assertThat(plan().get(0).engine(), is(withLocalWeights));
    }

    /** Callers wait for a model whose load takes longer than their deadlines. They receive a retry time. */
    @Test
    void theForecastCountsDownWhileAModelLoads() {
        EngineState engine = engine("one", WARM);
        assertThat(forecast(HOT, NOW), is(Duration.ofSeconds(3)));
        engine.requestSent();
        engine.orderResponseReceived(new EngineOrder(Action.LOAD, HOT, 1, 7), Response.ACCEPTED, NOW, 0);
        long later = NOW + Duration.ofSeconds(2).toNanos();
        assertThat(forecast(HOT, later), is(Duration.ofSeconds(1)));
        assertThat("an adapter waits for its model", forecast(new ModelId("hot/a1"), later), is(Duration.ofSeconds(1)));
    }

    /** The model loads from the local disk of the engine, so waiting is better for callers than retrying later. */
    @Test
    void theForecastIsShortForLocalWeightsAndAbsentForAReadyModel() {
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
        List.of(HOT, WARM, RARE).forEach(model -> setDemand(model, 5000, 1));
        for (int round = 0; round < 10; round++) {
            for (PlannedOrder order : plan(9, NOW + round)) {
                long expected = order.engine().expectedOrders();
                order.engine().requestSent();
                order.engine()
                        .orderResponseReceived(
                                new EngineOrder(order.action(), order.model(), 1, expected), Response.ACCEPTED, NOW, 0);
            }
            List<Long> used =
                    engines().stream().map(engine -> engine.usedBytes(rules())).toList();
            assertThat(used, everyItem(lessThanOrEqualTo(100L)));
        }
    }

    /** The response to an order is lost, and the order is executed late, after others. */
    @Test
    void anOrderWithoutAResponseIsFollowedByAReportBeforeTheNextOrder() {
        EngineState engine = engine("one", HOT);
        engine.requestSent();
        engine.orderResponseReceived(new EngineOrder(Action.LOAD, WARM, 1, 7), Response.UNKNOWN, NOW, 100);
        assertThat(engine.isFree(NOW + 200), is(false));
        assertThat(engine.needsReport(NOW + 50), is(false));
        assertThat(engine.needsReport(NOW + 200), is(true));
    }

    @Test
    void anEngineThatSawALaterLeaderGetsNoMoreOrders() {
        EngineState engine = engine("one", HOT);
        engine.requestSent();
        engine.orderResponseReceived(new EngineOrder(Action.LOAD, WARM, 1, 7), Response.FENCED, NOW, 0);
        setDemand(WARM, 0, 1);
        assertThat(plan(9, NOW + Duration.ofMinutes(1).toNanos()), empty());
        assertThat(engine.needsReport(NOW + Duration.ofMinutes(1).toNanos()), is(false));
    }
}
