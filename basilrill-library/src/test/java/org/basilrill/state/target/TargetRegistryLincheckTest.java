package org.basilrill.state.target;

import static org.basilrill.coordination.Announcements.engine;
import static org.basilrill.coordination.Announcements.withChanges;

import java.util.stream.Collectors;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.jetbrains.kotlinx.lincheck.LinChecker;
import org.jetbrains.kotlinx.lincheck.annotations.Operation;
import org.jetbrains.kotlinx.lincheck.annotations.Param;
import org.jetbrains.kotlinx.lincheck.paramgen.IntGen;
import org.jetbrains.kotlinx.lincheck.strategy.managed.modelchecking.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost updates and stale reads under concurrent announcements of the same targets: every concurrent
 * history must equal some sequential one. Model checking switches threads at chosen points and needs no idle cores. In
 * stress mode the test took 315 s on a machine with a load of 29. Lincheck uses a fixed seed of its own.
 */
@Param(name = "target", gen = IntGen.class, conf = "0:1")
@Param(name = "sequence", gen = IntGen.class, conf = "1:4")
public class TargetRegistryLincheckTest {
    private static final String MODEL = "m";

    private final TargetRegistry registry = new TargetRegistry(() -> 0);

    @Operation
    public boolean announce(@Param(name = "target") int target, @Param(name = "sequence") int sequence) {
        // Odd sequence numbers announce a leaving target, so that the index changes too.
        boolean leaving = sequence % 2 == 1;
        return registry.announce(withChanges(engine("t" + target, 1, MODEL), 1, sequence, 1000, 0, leaving));
    }

    @Operation
    public long sequence(@Param(name = "target") int target) {
        return registry.target(new TargetId("t" + target))
                .map(TargetAnnouncement::sequence)
                .orElse(0L);
    }

    @Operation
    public String ready() {
        return registry.readyFor(new ModelId(MODEL)).stream()
                .map(target -> target.id() + "=" + target.sequence())
                .collect(Collectors.joining(","));
    }

    @Test
    void concurrentHistoriesAreLinearizable() {
        LinChecker.check(
                TargetRegistryLincheckTest.class,
                new ModelCheckingOptions()
                        .iterations(10)
                        .invocationsPerIteration(100)
                        .threads(2)
                        .actorsPerThread(3));
    }
}
