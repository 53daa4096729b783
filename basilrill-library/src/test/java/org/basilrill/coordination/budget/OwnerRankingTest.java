package org.basilrill.coordination.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Set;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.junit.jupiter.api.Test;

/** Guards the choice of the owners of buckets. */
class OwnerRankingTest {
    private static final AccountId ACCOUNT = new AccountId("a");
    private static final List<InstanceId> INSTANCES =
            List.of(new InstanceId("i1"), new InstanceId("i2"), new InstanceId("i3"), new InstanceId("i4"));

    /**
     * Pattern: all replicas of the control log are lost at once. The buckets that they owned had no owner until the log
     * was back, and their accounts were refused although they were within their limits.
     */
    @Test
    void instancesWithAReplicaComeLast() {
        Set<InstanceId> holders = Set.of(INSTANCES.get(0), INSTANCES.get(2));
        List<InstanceId> ranked = new OwnerRanking(holders::contains).rank(ACCOUNT, INSTANCES);
        assertThat(Set.copyOf(ranked.subList(2, 4)), is(holders));
    }

    /** Guards against moving buckets when the instances differ in nothing. */
    @Test
    void amongEqualsTheOrderIsThatOfRendezvousHashing() {
        assertThat(OwnerRanking.EQUAL.rank(ACCOUNT, INSTANCES), is(RendezvousRanking.rank(ACCOUNT, INSTANCES)));
        assertThat(
                new OwnerRanking(instance -> true).rank(ACCOUNT, INSTANCES),
                is(RendezvousRanking.rank(ACCOUNT, INSTANCES)));
    }
}
