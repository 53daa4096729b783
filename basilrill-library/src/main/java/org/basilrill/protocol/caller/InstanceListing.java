package org.basilrill.protocol.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.Membership.Member;

/**
 * Tells callers which instances to use. Instances that are draining, suspected or not current are left out; the order
 * is drawn anew for each caller, so that lightly loaded instances come first more often but not always. Thread safe.
 */
public final class InstanceListing {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Added to the load, so that an idle instance does not draw all callers at once. */
    private static final int LOAD_OFFSET = 4;
    /** An instance in another data centre counts as loaded as one in the same with this many times its requests. */
    private static final double DISTANT_FACTOR = 3;

    private final Membership membership;
    private final InstanceId self;
    private final RandomGenerator random;
    private final Duration validity;

    /**
     * Creates a listing.
     *
     * @param random used under the lock of this object
     * @param validity how long callers may use an answer
     */
    public InstanceListing(Membership membership, InstanceId self, RandomGenerator random, Duration validity) {
        this.membership = membership;
        this.self = self;
        this.random = random;
        this.validity = validity;
    }

    /** Returns the caller addresses of the usable instances, the preferred one first. */
    public List<String> addresses() {
        return shuffledByLoad(usable(), Optional.empty());
    }

    /**
     * Returns the caller addresses of some usable instances, the preferred one first. Each answer draws them anew: a
     * caller that has given an address up then gets others, and comes back to it later.
     *
     * @param dataCentre where the caller is; instances there are preferred
     * @param most longest list
     */
    public List<String> someAddresses(Optional<String> dataCentre, int most) {
        return shuffledByLoad(usable(), dataCentre).stream().limit(most).toList();
    }

    private List<Member> usable() {
        return membership.members().stream().filter(InstanceListing::isUsable).toList();
    }

    /** Returns the caller addresses of the usable instances other than this one. */
    public List<String> otherAddresses() {
        return shuffledByLoad(
                membership.members().stream()
                        .filter(member -> isUsable(member) && !member.id().equals(self))
                        .toList(),
                Optional.empty());
    }

    /** Returns the answer to {@code GET /v1/instances}. */
    public PlainAnswer answer() {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode instances = body.putArray("instances");
        addresses().forEach(instances::add);
        body.put("valid_for_ms", validity.toMillis());
        return PlainAnswer.json(200, body.toString());
    }

    private static boolean isUsable(Member member) {
        return member.current() && !member.draining() && !member.suspected();
    }

    /** Weighted random order without replacement: an exponential variate with the load as its mean is the sort key. */
    private List<String> shuffledByLoad(List<Member> members, Optional<String> dataCentre) {
        List<Keyed> keyed = new ArrayList<>();
        synchronized (this) {
            for (Member member : members) {
                double variate = -Math.log(1 - random.nextDouble());
                boolean distant = dataCentre
                        .filter(near -> !near.equals(member.dataCentre()))
                        .isPresent();
                double weight = (member.requestsInFlight() + LOAD_OFFSET) * (distant ? DISTANT_FACTOR : 1);
                keyed.add(new Keyed(variate * weight, member.callerAddress()));
            }
        }
        return keyed.stream()
                .sorted(Comparator.comparingDouble(Keyed::sortKey))
                .map(Keyed::address)
                .toList();
    }

    /** An address with its place in the order. */
    private record Keyed(double sortKey, String address) {}
}
