package org.basilrill.coordination.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anEmptyMap;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.membership.Fact.InstanceLoadFact;
import org.basilrill.coordination.membership.Fact.TargetGoneFact;
import org.basilrill.coordination.membership.GossipMessage.OwnerDelta;
import org.junit.jupiter.api.Test;

/** Tests that the facts of one owner are reconciled without gaps and duplicates. */
class GossipStateTest {
    private static final InstanceId OWNER = new InstanceId("owner");
    private static final InstanceId READER = new InstanceId("reader");

    private final GossipState owner = new GossipState(OWNER, 1, 0);
    private final GossipState reader = new GossipState(READER, 1, 0);

    @Test
    void aDeltaThatWouldLeaveAGapIsIgnoredUntilTheNextExchange() {
        owner.publish(new TargetGoneFact(new TargetId("a")));
        long known = owner.ownVersion();
        owner.publish(new InstanceLoadFact(3));
        OwnerDelta lastChangeOnly = owner.ownDeltaAfter(known);
        assertThat(reader.apply(List.of(lastChangeOnly), 0), is(anEmptyMap()));
        assertThat(reader.fact(OWNER, InstanceLoadFact.class), is(Optional.empty()));
        reader.apply(owner.deltasFor(reader.digest(), 0), 0);
        assertThat(reader.fact(OWNER, InstanceLoadFact.class), is(Optional.of(new InstanceLoadFact(3))));
        assertThat(reader.facts(OWNER, TargetGoneFact.class).size(), is(1));
    }

    @Test
    void anOverlappingDeltaReportsOnlyWhatIsNew() {
        owner.publish(new TargetGoneFact(new TargetId("a")));
        reader.apply(owner.deltasFor(reader.digest(), 0), 0);
        owner.publish(new InstanceLoadFact(3));
        Map<InstanceId, List<Fact>> newFacts = reader.apply(List.of(owner.ownDeltaAfter(0)), 0);
        assertThat(newFacts, is(Map.of(OWNER, List.of(new InstanceLoadFact(3)))));
    }

    @Test
    void anUrgentDeltaIsAppliedByAReaderThatMissedOnlyHeartbeats() {
        owner.publish(new TargetGoneFact(new TargetId("a")));
        reader.apply(owner.deltasFor(reader.digest(), 0), 0);
        owner.advance(0);
        long known = owner.ownVersion();
        owner.publish(new InstanceLoadFact(3));
        reader.apply(List.of(owner.ownDeltaAfter(known)), 0);
        assertThat(reader.fact(OWNER, InstanceLoadFact.class), is(Optional.of(new InstanceLoadFact(3))));
    }
}
