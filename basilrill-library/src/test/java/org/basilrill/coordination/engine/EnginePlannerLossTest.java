package org.basilrill.coordination.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineOrder.Action;
import org.basilrill.state.target.EngineOrder.Response;
import org.junit.jupiter.api.Test;

/**
 * Tests the orders while engines crash. Guards against sound requests that find no copy of a model in demand, because
 * copies at crashed engines still counted or because restarted engines loaded models of little demand first.
 */
class EnginePlannerLossTest extends EnginePlannerFixture {
    /** A prompt part crashes the only engine with a model: it is still announced for seconds, but serves nothing. */
    @Test
    void aModelInDemandIsLoadedAgainWhenItsOnlyEngineRefusesConnections() {
        refusesConnections(engine("crashed", HOT, WARM));
        EngineState room = engine("sound", RARE);
        setDemand(HOT, 5_000, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(room, Action.LOAD, HOT))));
    }

    /** The engine is back within seconds and has the weights on its disk: a load elsewhere would be of no use. */
    @Test
    void aModelWithoutDemandIsNotLoadedAgainWhenItsOnlyEngineRefusesConnections() {
        refusesConnections(engine("crashed", HOT, WARM));
        engine("sound", RARE);
        assertThat(plan(), is(empty()));
    }

    /** The order would fail, and the engine could get another one only after the next report. */
    @Test
    void noModelIsLoadedAtAnEngineThatRefusesConnections() {
        refusesConnections(engine("crashed", RARE));
        engine("sound", RARE, WARM);
        setDemand(HOT, 5_000, 1);
        assertThat(plan(), is(empty()));
    }

    /** The last copy of a model must not be evicted because a crashed engine holds another one. */
    @Test
    void aCopyAtAnEngineThatRefusesConnectionsDoesNotAllowAnEviction() {
        refusesConnections(engine("crashed", WARM));
        engine("sound", RARE, WARM);
        setDemand(HOT, 9_000, 1);
        setDemand(WARM, 5_000, 0);
        setDemand(RARE, 5_000, 0);
        assertThat(plan(), is(empty()));
    }

    /** After a crash, the next crash must not take the only copy that most requests need. */
    @Test
    void theSecondCopyOfABusyModelIsLoadedBeforeAMissingModelOfLittleDemand() {
        engine("sound", HOT, WARM);
        EngineState restarted = engine("restarted", Set.of(HOT, RARE));
        setDemand(HOT, 50_000, 0);
        setDemand(WARM, 5_000, 0);
        setDemand(RARE, 900, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(restarted, Action.LOAD, HOT))));
    }

    /** A missing model with much demand, or with queued requests, serves more requests than a second copy. */
    @Test
    void aMissingModelThatRequestsNeedNowIsLoadedBeforeTheSecondCopyOfABusyModel() {
        engine("sound", HOT, WARM);
        EngineState restarted = engine("restarted", Set.of(HOT, RARE));
        setDemand(HOT, 50_000, 0);
        setDemand(WARM, 5_000, 0);
        setDemand(RARE, 9_000, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(restarted, Action.LOAD, RARE))));
        setDemand(RARE, 900, 1);
        assertThat(plan(), is(List.of(new PlannedOrder(restarted, Action.LOAD, RARE))));
    }

    /** One second copy is enough: the other engines that restarted load the missing models. */
    @Test
    void aThirdCopyOfABusyModelWaitsForTheMissingModels() {
        engine("sound", HOT, WARM);
        engine("other", HOT);
        EngineState restarted = engine("restarted", Set.of(HOT, RARE), WARM);
        setDemand(HOT, 50_000, 0);
        setDemand(RARE, 900, 0);
        assertThat(plan().get(0), is(new PlannedOrder(restarted, Action.LOAD, RARE)));
    }

    /** Memory that is being freed at an engine that crashed is of no use. */
    @Test
    void aReservationAtAnEngineThatRefusesConnectionsDoesNotDelayALoad() {
        EngineState crashed = engine("crashed", RARE, WARM);
        crashed.reserveFor(HOT);
        refusesConnections(crashed);
        EngineState room = engine("sound", RARE);
        setDemand(HOT, 5_000, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(room, Action.LOAD, HOT))));
    }

    /** A load from the weight store takes five times as long as one from the disk of an engine that is back. */
    @Test
    void aModelThatNoEngineServesIsLoadedFromADiskWhileAnotherLoadFromTheStoreRuns() {
        loading(engine("store"), HOT);
        EngineState restarted = engine("restarted", Set.of(HOT));
        setDemand(HOT, 5_000, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(restarted, Action.LOAD, HOT))));
    }

    /** After a crash, second loads of models of little demand delayed the models that were still missing. */
    @Test
    void aModelOfLittleDemandWaitsForItsLoadFromTheStore() {
        engine("sound", HOT, WARM);
        engine("other", HOT, WARM);
        loading(engine("store"), RARE);
        engine("full", Set.of(RARE), HOT, WARM);
        setDemand(HOT, 50_000, 0);
        setDemand(WARM, 50_000, 0);
        setDemand(RARE, 900, 0);
        assertThat(plan(), is(empty()));
    }

    /** All engines with room were busy, and the one with the weights on its disk kept a model of little demand. */
    @Test
    void aModelThatNoEngineServesReplacesOneOfLittleDemandWhereItsWeightsAreLocal() {
        loading(engine("store"), HOT);
        loading(engine("other"), WARM);
        EngineState full = engine("full", Set.of(HOT, RARE, WARM), RARE, WARM);
        setDemand(HOT, 50_000, 0);
        setDemand(WARM, 5_000, 0);
        setDemand(RARE, 900, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(full, Action.UNLOAD, RARE))));
    }

    /** Evictions for each other would leave both models without a copy again and again. */
    @Test
    void aModelThatNoEngineServesDoesNotReplaceOneOfSimilarDemandWhileEnginesAreBusy() {
        loading(engine("store"), HOT);
        loading(engine("other"), HOT);
        engine("full", Set.of(HOT, RARE, WARM), RARE, WARM);
        setDemand(HOT, 50_000, 0);
        setDemand(WARM, 5_000, 0);
        setDemand(RARE, 4_000, 0);
        assertThat(plan(), is(empty()));
    }

    /** The engines report to a new leader one after the other; their announcements count until then. */
    @Test
    void aNewLeaderLoadsNoModelThatAnAnnouncedEngineServes() {
        engines().add(new EngineState(announcement("silent", HOT), NOW));
        engine("reported", Set.of(HOT, RARE, WARM), RARE, WARM);
        setDemand(HOT, 5_000, 0);
        assertThat(plan(), is(empty()));
    }

    /** After six crashes, two copies had the demand that five had before, and nine rare models were loaded first. */
    @Test
    void aFurtherCopyOfAnOverloadedModelIsLoadedBeforeAMissingModelOfLittleDemandWhileManyEnginesLoad() {
        engine("one", HOT, WARM);
        engine("two", HOT, WARM);
        List.of("a", "b", "c").forEach(id -> loading(engine(id, WARM), new ModelId("other")));
        EngineState restarted = engine("restarted", Set.of(HOT, RARE));
        setDemand(HOT, 200_000, 0);
        setDemand(RARE, 900, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(restarted, Action.LOAD, HOT))));
    }

    private static void loading(EngineState engine, ModelId model) {
        engine.requestSent();
        engine.orderResponseReceived(
                new EngineOrder(Action.LOAD, model, 1, engine.expectedOrders()), Response.ACCEPTED, NOW, 0);
    }

    private static void refusesConnections(EngineState engine) {
        engine.updateAnnouncement(engine.announcement().withUnconfirmedVersion());
    }
}
