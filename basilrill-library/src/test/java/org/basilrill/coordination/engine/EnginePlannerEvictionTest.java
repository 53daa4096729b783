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
import org.basilrill.state.target.EngineOrder.Answer;
import org.junit.jupiter.api.Test;

/** Guards which copies make way, and for what, when demand moves and engines are full. */
class EnginePlannerRoomTest extends EnginePlanning {
    /** Pattern: demand shifts for some seconds; copies that made way at once were missed when it came back. */
    @Test
    void aModelGivesUpOneCopyAtATimeForAHotterOne() {
        for (int number = 0; number < 4; number++) {
            engine("warm-" + number, WARM, RARE);
        }
        engine("hot", HOT);
        wish(HOT, 40_000, 0);
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

    /** Pattern: a hot model has one copy that serves and one that loads; a missing model needs room. */
    @Test
    void theOnlyCopyThatServesStaysWhileAnotherOneLoads() {
        engine("serving", HOT, WARM);
        EngineState loading = engine("loading", WARM);
        loading.asked();
        loading.answered(new EngineOrder(Action.LOAD, HOT, 1, 7), Answer.ACCEPTED, NOW, 0);
        wish(HOT, 5_000, 0);
        wish(WARM, 6_000, 0);
        wish(RARE, 0, 2);
        assertThat(plan().stream().map(PlannedOrder::model).toList(), not(hasItem(HOT)));
    }

    /** Pattern: rare models are asked for at once; room for one of them was made twice while others had no copy. */
    @Test
    void roomForAMissingModelIsMadeOnce() {
        engine("one", HOT, WARM);
        engine("two", HOT, WARM);
        wish(RARE, 100, 2);
        PlannedOrder first = plan().get(0);
        assertThat(first.action(), is(Action.UNLOAD));
        first.engine().asked();
        assertThat(plan(), empty());
    }

    /** Pattern: the same, in a pool where no model has a second copy and some engines always load. */
    @Test
    void aLastCopyMakesWayInALargePoolWhileOtherEnginesLoad() {
        List<ModelId> known = new ArrayList<>();
        for (int number = 0; number < 22; number++) {
            known.add(new ModelId("m" + number));
        }
        for (int number = 0; number < 10; number++) {
            Set<ModelId> held = Set.of(known.get(2 * number), known.get(2 * number + 1));
            engine("engine-" + number, held, held.toArray(ModelId[]::new));
        }
        for (EngineState busy : engines().subList(0, 2)) {
            ModelId leaving = busy.readyModels().iterator().next();
            busy.asked();
            busy.answered(new EngineOrder(Action.UNLOAD, leaving, 1, 7), Answer.ACCEPTED, NOW, 0);
        }
        wish(known.get(20), 100, 2);
        useModels(known);
        assertThat(plan().get(0).action(), is(Action.UNLOAD));
    }

    /** Pattern: a model was hot until some seconds ago, another one was not; the demand may return. */
    @Test
    void aModelThatWasAskedForLatelyKeepsItsCopiesLongerThanOneThatWasNot() {
        engine("one", WARM, RARE);
        engine("two", WARM, RARE);
        engine("hot", HOT);
        wish(HOT, 40_000, 0);
        demand().put(WARM, new ModelDemand(10, 9_000, 0));
        assertThat(plan().get(0).model(), is(RARE));
    }

    /** Pattern: room was made for one model, an adapter goes first there, and another model is missing as well. */
    @Test
    void aMissingModelDoesNotCountOnRoomThatIsMadeForAnother() {
        EngineState promised = engine("one", HOT);
        promised.reserveFor(WARM);
        promised.asked();
        EngineState full = engine("two", HOT, WARM);
        wish(HOT, 9000, 0);
        wish(RARE, 0, 2);
        assertThat(plan(), is(List.of(new PlannedOrder(full, Action.UNLOAD, HOT))));
    }
}
