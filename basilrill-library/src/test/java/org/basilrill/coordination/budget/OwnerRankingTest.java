package org.basilrill.coordination.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.junit.jupiter.api.Test;

/** Tests the choice of bucket owners. */
class OwnerRankingTest {
    private static final AccountId ACCOUNT = new AccountId("a");
    private static final List<InstanceId> INSTANCES =
            List.of(new InstanceId("i1"), new InstanceId("i2"), new InstanceId("i3"), new InstanceId("i4"));

    /**
     * Guards against buckets without an owner when all replicas of the control log are lost at once. Buckets owned by
     * those instances got a new owner only after the log was available again, and requests within the limits were
     * refused until then.
     */
    @Test
    void instancesWithReplicaRankLast() {
        Set<InstanceId> holders = Set.of(INSTANCES.get(0), INSTANCES.get(2));
        List<InstanceId> ranked = new OwnerRanking(holders::contains).rank(ACCOUNT, INSTANCES);
        assertThat(Set.copyOf(ranked.subList(2, 4)), is(holders));
    }

    /** Guards against needless moves of buckets among instances of equal preference. */
    @Test
    void equalInstancesAreInRendezvousOrder() {
        assertThat(OwnerRanking.EQUAL.rank(ACCOUNT, INSTANCES), is(RendezvousRanking.rank(ACCOUNT, INSTANCES)));
        assertThat(
                new OwnerRanking(instance -> true).rank(ACCOUNT, INSTANCES),
                is(RendezvousRanking.rank(ACCOUNT, INSTANCES)));
    }
}
