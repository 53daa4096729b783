package org.basilrill.protocol.instance;

import java.util.Optional;
import org.basilrill.coordination.membership.Fact.InstanceFact;
import org.basilrill.coordination.membership.Fact.InstanceLoadFact;
import org.basilrill.coordination.membership.GossipMembership;

/** Publishes the facts about this instance when they change. Thread safe: guarded by its own lock. */
final class InstanceFactPublisher {
    /** A change of the load by fewer requests than this is not published. */
    private static final int MINIMUM_LOAD_CHANGE = 2;

    private final GossipMembership membership;
    private Optional<InstanceFact> publishedFact = Optional.empty();
    private int publishedLoad = -MINIMUM_LOAD_CHANGE;

    InstanceFactPublisher(GossipMembership membership) {
        this.membership = membership;
    }

    synchronized void publish(InstanceFact fact) {
        if (publishedFact.filter(fact::equals).isPresent()) {
            return;
        }
        boolean urgent = publishedFact
                .filter(last -> last.draining() == fact.draining() && last.cutFromTargets() == fact.cutFromTargets())
                .isEmpty();
        publishedFact = Optional.of(fact);
        if (urgent) {
            membership.publishUrgently(fact);
        } else {
            membership.publish(fact);
        }
    }

    synchronized void publishLoad(int requestsInFlight) {
        if (Math.abs(requestsInFlight - publishedLoad) < MINIMUM_LOAD_CHANGE) {
            return;
        }
        publishedLoad = requestsInFlight;
        membership.publish(new InstanceLoadFact(requestsInFlight));
    }
}
