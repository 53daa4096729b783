package org.basilrill.coordination.engine;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.basilrill.state.target.EngineOrder.Action;
import org.junit.jupiter.api.Test;

/**
 * Tests the orders while engines of two software versions are in service. Guards against the only copy of a model at a
 * version: when its engine crashes, the streams that it began cannot be taken up anywhere.
 */
class EnginePlannerVersionsTest extends EnginePlannerFixture {
    /** A release: an engine of the old version has room, so that the busiest model gets a second copy there. */
    @Test
    void theBusiestModelGetsASecondCopyAtAVersionWithRoom() {
        engineAt("v1", "old", HOT, WARM);
        EngineState room = engineAt("v1", "old-3", RARE);
        engineAt("v2", "new", HOT, RARE);
        setDemand(HOT, 5_000, 0);
        setDemand(WARM, 3_000, 0);
        setDemand(RARE, 300, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(room, Action.LOAD, HOT))));
    }

    /** A hot model gets a further copy: an engine of the version that has only one comes first. */
    @Test
    void aFurtherCopyIsLoadedWhereItIsTheSecondOfItsVersion() {
        engineAt("v1", "old", HOT, WARM);
        engineAt("v1", "old-2", HOT, RARE);
        engineAt("v2", "new", HOT, RARE);
        engineAt("v1", "old-3", WARM);
        EngineState room = engineAt("v2", "new-2", WARM);
        setDemand(HOT, 90_000, 0);
        assertThat(plan(), is(List.of(new PlannedOrder(room, Action.LOAD, HOT))));
    }

    /** All engines run the same software: memory stays free for models that have no copy. */
    @Test
    void noSecondCopyIsLoadedWhileAllEnginesRunOneVersion() {
        engineAt("v1", "one", HOT, WARM);
        engineAt("v1", "two", RARE);
        setDemand(HOT, 5_000, 0);
        assertThat(plan(), is(empty()));
    }

    /** An engine may have started again under its id: its unconfirmed version is no second version. */
    @Test
    void anUnconfirmedVersionCausesNoCopies() {
        engineAt("v1", "one", HOT, WARM);
        EngineState suspect = engineAt("v1", "two", RARE);
        suspect.updateAnnouncement(suspect.announcement().withUnconfirmedVersion());
        setDemand(HOT, 5_000, 0);
        assertThat(plan(), is(empty()));
    }
}
