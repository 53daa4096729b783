package org.basilrill.protocol.instance;

import java.util.Optional;
import org.basilrill.coordination.membership.Fact.InstanceFact;
import org.basilrill.coordination.membership.Fact.InstanceLoadFact;
import org.basilrill.coordination.membership.GossipMembership;

/** Publishes what this instance says about itself, whenever it changes. Thread safe: guarded by its own lock. */
final class OwnFacts {
    /** A change of the load by fewer requests than this is not worth a message. */
    private static final int LOAD_CHANGE = 2;

    private final GossipMembership membership;
    private Optional<InstanceFact> published = Optional.empty();
    private int publishedLoad = -LOAD_CHANGE;

    OwnFacts(GossipMembership membership) {
        this.membership = membership;
    }

    synchronized void publish(InstanceFact fact) {
        if (published.filter(fact::equals).isPresent()) {
            return;
        }
        boolean urgent =
                published.filter(last -> last.draining() == fact.draining()).isEmpty();
        published = Optional.of(fact);
        if (urgent) {
            membership.publishUrgently(fact);
        } else {
            membership.publish(fact);
        }
    }

    synchronized void publishLoad(int requestsInFlight) {
        if (Math.abs(requestsInFlight - publishedLoad) < LOAD_CHANGE) {
            return;
        }
        publishedLoad = requestsInFlight;
        membership.publish(new InstanceLoadFact(requestsInFlight));
    }
}
