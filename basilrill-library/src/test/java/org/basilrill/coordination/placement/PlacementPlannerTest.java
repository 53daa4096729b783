package org.basilrill.coordination.placement;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.Announcements;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.ledger.LedgerRow;
import org.basilrill.state.ledger.LedgerRow.Holding;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.Test;

/** Tests the order of loads, the choice of copies to unload and the limits of the weight store. */
class PlacementPlannerTest {
    private final PlacementPlanner planner = new PlacementPlanner(PlacementSettings.defaults());
    private final Map<TargetId, List<String>> contents = new HashMap<>();

    @Test
    void onlyCopyOfModelIsNotEvicted() {
        contents.put(new TargetId("a"), List.of("m1"));
        PlacementPlan plan = plan(Set.of(), 4, "m1", "m2");

        assertThat(plan.orders(), is(List.of()));
        assertThat(plan.waitingLoads().get(0).obstacle(), is(PlacementPlan.Obstacle.MEMORY));
    }

    @Test
    void redundantCopyIsEvictedForModelWithoutCopy() {
        contents.put(new TargetId("a"), List.of("m1"));
        contents.put(new TargetId("b"), List.of("m1"));
        PlacementPlan plan = plan(Set.of(), 4, "m1", "m2");

        assertThat(plan.orders().size(), is(1));
        assertThat(plan.orders().get(0).reason(), is(PlacementReason.MEMORY_NEEDED));
    }

    @Test
    void modelWithHighestDemandGetsOnlyStoreSlot() {
        contents.put(new TargetId("a"), List.of());
        contents.put(new TargetId("b"), List.of());
        PlacementPlan plan = plan(Set.of(), 1, "m1", "m2", "m3");

        assertThat(plan.orders().stream().map(PlacementOrder::model).toList(), is(List.of(new ModelId("m3"))));
        assertThat(
                plan.waitingLoads().stream()
                        .map(PlacementPlan.WaitingLoad::model)
                        .map(ModelId::value)
                        .toList(),
                is(List.of("m2", "m1")));
    }

    @Test
    void targetWithOpenOrderOfEarlierControllerGetsNoOrder() {
        contents.put(new TargetId("a"), List.of());
        assertThat(plan(Set.of(new TargetId("a")), 4, "m1").orders(), is(List.of()));
    }

    /** Plans for targets with memory for one model each; each model has more demand than the one before it. */
    private PlacementPlan plan(Set<TargetId> blockedTargets, int availableLoads, String... names) {
        Map<ModelId, Rules.Model> models = new HashMap<>();
        Map<ModelId, ModelDemand> demand = new HashMap<>();
        for (String name : names) {
            ModelId model = new ModelId(name);
            models.put(model, new Rules.Model(model, 1, 1, 2, 1, 5));
            demand.put(model, new ModelDemand(demand.size() + 1, demand.size() + 1, 0));
        }
        Rules rules = new Rules(
                1, Map.of(), Map.of(), Map.of(), models, Map.of(), Map.of(), List.of(), Rules.StoreLimits.defaults());
        List<LedgerRow> rows = new ArrayList<>();
        List<TargetAnnouncement> announcements = new ArrayList<>();
        contents.forEach((target, loadedModels) -> {
            List<Holding> holdings = loadedModels.stream()
                    .map(name -> new Holding(new ModelId(name), 1, 1))
                    .toList();
            rows.add(new LedgerRow(target, 1, 1, true, holdings, List.of()));
            announcements.add(Announcements.engine(target.value(), 1, loadedModels.toArray(String[]::new)));
        });
        return planner.plan(new PlacementInput(
                rules, rows, announcements, demand, blockedTargets, contents.keySet(), Map.of(), availableLoads));
    }
}
