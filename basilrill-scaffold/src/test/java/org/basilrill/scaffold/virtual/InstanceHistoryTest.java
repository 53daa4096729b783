package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;

import java.time.Duration;
import java.util.EnumSet;
import java.util.Set;
import java.util.logging.Level;
import java.util.logging.Logger;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.basilrill.scaffold.virtual.VirtualHistory.Disturbance;

/** Guards the invariants of section 1 of the design page in simulations of several complete instances. */
class InstanceHistoryTest {
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final Duration DURATION = Duration.ofSeconds(40);

    @BeforeContainer
    static void silenceLog() {
        LOGGER.setLevel(Level.OFF);
    }

    @Property(tries = 4, seed = "5301", shrinking = ShrinkingMode.OFF)
    void invariantsHoldWithoutFaults(@ForAll long seed) {
        check(seed, Set.of());
    }

    @Property(tries = 8, seed = "5302", shrinking = ShrinkingMode.OFF)
    void invariantsHoldWhileTargetsFailAndLeave(@ForAll long seed) {
        check(seed, EnumSet.of(Disturbance.TARGETS, Disturbance.LEAVING));
    }

    @Property(tries = 8, seed = "5303", shrinking = ShrinkingMode.OFF)
    void invariantsHoldWhileInstancesAreIsolated(@ForAll long seed) {
        check(seed, EnumSet.of(Disturbance.ISOLATIONS));
    }

    @Property(tries = 8, seed = "5304", shrinking = ShrinkingMode.OFF)
    void invariantsHoldWhileInstancesCrashAndReplicasAreWiped(@ForAll long seed) {
        check(seed, EnumSet.of(Disturbance.CRASHES, Disturbance.WIPES));
    }

    @Property(tries = 16, seed = "5305", shrinking = ShrinkingMode.OFF)
    void invariantsHoldUnderAllFaults(@ForAll long seed) {
        check(seed, EnumSet.allOf(Disturbance.class));
    }

    private static void check(long seed, Set<Disturbance> disturbances) {
        HistoryChecks checks = new VirtualHistory(seed, disturbances).run(DURATION);
        assertThat("seed " + seed, checks.violations(), empty());
        assertThat("seed " + seed, checks.succeeded(), greaterThan(10));
    }
}
