package org.basilrill.transport.threads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.logging.Level;
import java.util.logging.Logger;
import java.util.stream.IntStream;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.consensus.MemberSet;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;

/** Plays single combinations of faults that random schedules reach rarely; see {@link ControlLogLivenessTest}. */
class ControlLogFaultCasesTest {
    /** Kept so that the level is not lost with an unreferenced logger. */
    private static final Logger STORAGE_LOGGER = Logger.getLogger(ReplicaStorage.class.getName());

    private static final int SEEDS = 8;
    private static final int ACKNOWLEDGEMENT_MILLISECONDS = 4_000;
    private static final int MEMBERS_MILLISECONDS = 8_000;

    @BeforeAll
    static void omitOutagesFromTheLog() {
        STORAGE_LOGGER.setLevel(Level.OFF);
    }

    /** Guards against a learner that counts towards a majority, and against a log that does not return afterwards. */
    @Test
    void aSuccessorThatIsStillLearningIsNoPartOfAMajority() {
        for (int seed = 0; seed < SEEDS; seed++) {
            VirtualDeployment deployment = VirtualDeployment.founded(seed, 3);
            deployment.run(3_000);
            List<InstanceId> followers = followers(deployment);
            InstanceId replaced = followers.get(0);
            InstanceId voter = followers.get(1);
            deployment.replaceDisk(replaced);
            // Each chunk of the snapshot takes a second, so that the successor stays behind.
            deployment.setChangeMicroseconds(replaced, 1_000_000);
            deployment.run(400);
            deployment.disk(voter).setFull(true);
            deployment.run(500);
            assertThat("acknowledged", deployment.acknowledgeNext(3_000).isPresent(), is(false));
            deployment.disk(voter).setFull(false);
            deployment.run(1_000);
            boolean acknowledged =
                    deployment.acknowledgeNext(ACKNOWLEDGEMENT_MILLISECONDS).isPresent();
            assertThat("acknowledged while the successor is learning", acknowledged, is(true));
            ControlLogLivenessTest.checkRecovered(deployment);
            assertThat(voters(deployment), is(3));
        }
    }

    /**
     * Guards against a log that stays down when one of two voters is lost for a time after the third was removed and
     * before its successor is admitted.
     */
    @Test
    void theLogReturnsWhenADiskWasFullBetweenARemovalAndAnAdmission() {
        for (int seed = 0; seed < SEEDS; seed++) {
            VirtualDeployment deployment = VirtualDeployment.founded(seed, 3);
            deployment.run(3_000);
            InstanceId replaced = followers(deployment).get(0);
            deployment.replaceDisk(replaced);
            boolean removed = deployment.runUntil(() -> voters(deployment) == 2, MEMBERS_MILLISECONDS);
            assertThat("removed", removed, is(true));
            InstanceId full = seed % 2 == 0
                    ? deployment.leader().orElseThrow()
                    : followers(deployment).stream()
                            .filter(follower -> !follower.equals(replaced))
                            .findFirst()
                            .orElseThrow();
            deployment.disk(full).setFull(true);
            deployment.run(5_000);
            ControlLogLivenessTest.checkRecovered(deployment);
            assertThat(voters(deployment), is(3));
        }
    }

    /** Guards against a log that stays down when a member that has just replaced another one has to lead. */
    @Test
    void theLogReturnsWhenTheOthersOfANewMemberFailInTurn() {
        for (int seed = 0; seed < SEEDS; seed++) {
            VirtualDeployment deployment = VirtualDeployment.founded(seed, 3);
            deployment.run(3_000);
            InstanceId replaced = followers(deployment).get(0);
            deployment.replaceDisk(replaced);
            deployment.setChangeMicroseconds(replaced, 10_000);
            deployment.run(600);
            for (int turn = 0; turn < 4; turn++) {
                InstanceId full = deployment.leader().orElse(deployment.instance(turn % 3));
                deployment.disk(full).setFull(true);
                deployment.run(1_500);
                deployment.disk(full).setFull(false);
                deployment.run(200);
            }
            ControlLogLivenessTest.checkRecovered(deployment);
            assertThat(voters(deployment), is(3));
        }
    }

    private static List<InstanceId> followers(VirtualDeployment deployment) {
        InstanceId leader = deployment.leader().orElseThrow();
        return IntStream.range(0, deployment.size())
                .mapToObj(deployment::instance)
                .filter(instance -> !instance.equals(leader))
                .toList();
    }

    private static int voters(VirtualDeployment deployment) {
        MemberSet members =
                deployment.leader().map(deployment::status).orElseThrow().members();
        return members.voters().size();
    }
}
