package org.basilrill.coordination.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.coordination.placement.ModelDemand;
import org.basilrill.state.target.EngineOrder;
import org.basilrill.state.target.EngineOrder.Action;
import org.basilrill.state.target.EngineOrder.Response;
import org.junit.jupiter.api.Test;

/** Tests which copies are evicted, and for which models, when the demand shifts and the engines are full. */
class EnginePlannerEvictionTest extends EnginePlannerFixture {
    /**
     * Guards against evicting several copies of a model when the demand shifts for a few seconds: the copies were
     * missing when the demand returned.
     */
    @Test
    void aModelLosesOneCopyAtATimeToAHotterOne() {
        for (int number = 0; number < 4; number++) {
            engine("warm-" + number, WARM, RARE);
        }
        engine("hot", HOT);
        setDemand(HOT, 40_000, 0);
        PlannedOrder first = plan().get(0);
        assertThat(first.action(), is(Action.UNLOAD));
        List<ModelId> unloadedNext = plan(9, NOW + Duration.ofSeconds(1).toNanos()).stream()
                .filter(order -> order.action() == Action.UNLOAD)
                .map(PlannedOrder::model)
                .toList();
        assertThat(unloadedNext, not(hasItem(first.model())));
        List<ModelId> unloadedLater = plan(9, NOW + Duration.ofSeconds(20).toNanos()).stream()
                .map(PlannedOrder::model)
                .toList();
        assertThat(unloadedLater, hasItem(first.model()));
    }

    /**
     * Guards against evicting the only ready copy of a hot model, while its second copy is loading, to free memory for
     * a missing model.
     */
    @Test
    void theOnlyReadyCopyIsKeptWhileAnotherOneLoads() {
        engine("serving", HOT, WARM);
        EngineState loading = engine("loading", WARM);
        loading.requestSent();
        loading.orderResponseReceived(new EngineOrder(Action.LOAD, HOT, 1, 7), Response.ACCEPTED, NOW, 0);
        setDemand(HOT, 5_000, 0);
        setDemand(WARM, 6_000, 0);
        setDemand(RARE, 0, 2);
        assertThat(plan().stream().map(PlannedOrder::model).toList(), not(hasItem(HOT)));
    }

    /**
     * Guards against freeing memory twice for one of several rare models requested at once, while the others had no
     * copy.
     */
    @Test
    void memoryForAMissingModelIsFreedOnce() {
        engine("one", HOT, WARM);
        engine("two", HOT, WARM);
        setDemand(RARE, 100, 2);
        PlannedOrder first = plan().get(0);
        assertThat(first.action(), is(Action.UNLOAD));
        first.engine().requestSent();
        assertThat(plan(), empty());
    }

    /**
     * Guards against a missing model that never gets memory in a large pool in which no model has a second copy and
     * some engines are always busy.
     */
    @Test
    void aLastCopyIsEvictedInALargePoolWhileOtherEnginesAreBusy() {
        List<ModelId> known = new ArrayList<>();
        for (int number = 0; number < 22; number++) {
            known.add(new ModelId("m" + number));
        }
        for (int number = 0; number < 10; number++) {
            Set<ModelId> residentModels = Set.of(known.get(2 * number), known.get(2 * number + 1));
            engine("engine-" + number, residentModels, residentModels.toArray(ModelId[]::new));
        }
        for (EngineState busy : engines().subList(0, 2)) {
            ModelId leaving = busy.readyModels().iterator().next();
            busy.requestSent();
            busy.orderResponseReceived(new EngineOrder(Action.UNLOAD, leaving, 1, 7), Response.ACCEPTED, NOW, 0);
        }
        setDemand(known.get(20), 100, 2);
        useModels(known);
        assertThat(plan().get(0).action(), is(Action.UNLOAD));
    }

    /**
     * Guards against evicting copies of a model that was hot until a few seconds ago, whose demand may return, before
     * those of a model that was not.
     */
    @Test
    void aRecentlyRequestedModelKeepsItsCopiesLonger() {
        engine("one", WARM, RARE);
        engine("two", WARM, RARE);
        engine("hot", HOT);
        setDemand(HOT, 40_000, 0);
        demand().put(WARM, new ModelDemand(10, 9_000, 0));
        assertThat(plan().get(0).model(), is(RARE));
    }

    /**
     * Guards against placing a missing model in memory that is reserved for another model, whose load is delayed by the
     * load of an adapter.
     */
    @Test
    void memoryReservedForOneModelIsNotCountedForAnother() {
        EngineState withReservation = engine("one", HOT);
        withReservation.reserveFor(WARM);
        withReservation.requestSent();
        EngineState full = engine("two", HOT, WARM);
        setDemand(HOT, 9000, 0);
        setDemand(RARE, 0, 2);
        assertThat(plan(), is(List.of(new PlannedOrder(full, Action.UNLOAD, HOT))));
    }
}
