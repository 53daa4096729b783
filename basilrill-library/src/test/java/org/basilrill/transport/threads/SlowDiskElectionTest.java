package org.basilrill.transport.threads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.stream.IntStream;
import org.basilrill.api.InstanceId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Elects leaders on virtual time while all disks are slow. */
class SlowDiskElectionTest {
    private static final int SEEDS = 4;
    private static final int SLOW_MILLISECONDS = 12_000;
    private static final int ACKNOWLEDGEMENT_MILLISECONDS = 4_000;
    private static final int MICROSECONDS = 1_000;

    /**
     * Guards against elections that never end because a vote takes longer to write than the election timeout: the
     * candidate then starts anew before the votes arrive. A vote takes six changes.
     */
    @ParameterizedTest
    @ValueSource(ints = {10, 30, 50, 100})
    void aLeaderIsElectedWhileAllDisksAreSlow(int changeMilliseconds) {
        for (int seed = 0; seed < SEEDS; seed++) {
            VirtualDeployment deployment = VirtualDeployment.founded(seed, 3);
            deployment.run(1_000);
            IntStream.range(0, deployment.size())
                    .mapToObj(deployment::instance)
                    .forEach(instance -> deployment.setChangeMicroseconds(instance, changeMilliseconds * MICROSECONDS));
            InstanceId leader = deployment.leader().orElseThrow();
            deployment.kill(leader, false);
            deployment.run(SLOW_MILLISECONDS);
            boolean acknowledged =
                    deployment.acknowledgeNext(ACKNOWLEDGEMENT_MILLISECONDS).isPresent();
            assertThat("acknowledged: " + deployment.statuses(), acknowledged, is(true));
            ControlLogLivenessTest.checkRecovered(deployment);
        }
    }
}
