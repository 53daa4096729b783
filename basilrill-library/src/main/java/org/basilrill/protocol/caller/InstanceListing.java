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
 * Lists the instances that callers may use. Instances that are draining, suspected or not current are left out. Each
 * list has a new random order in which lightly loaded instances come first more often, but not always. Thread safe.
 */
public final class InstanceListing {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Added to the load, so that an instance without load does not attract all callers at once. */
    private static final int LOAD_OFFSET = 4;
    /** Factor by which the load of an instance in another data centre is multiplied. */
    private static final double DISTANT_FACTOR = 3;

    private final Membership membership;
    private final InstanceId self;
    private final RandomGenerator random;
    private final Duration validity;

    /**
     * Creates a listing.
     *
     * @param random source of the order; accessed only while holding the lock of this object
     * @param validity how long callers may use a list
     */
    public InstanceListing(Membership membership, InstanceId self, RandomGenerator random, Duration validity) {
        this.membership = membership;
        this.self = self;
        this.random = random;
        this.validity = validity;
    }

    /** Returns the caller addresses of the usable instances, the preferred one first. */
    public List<String> addresses() {
        return shuffledByLoad(usableMembers(), Optional.empty());
    }

    /**
     * Returns the caller addresses of a random sample of the usable instances, the preferred one first. Each call draws
     * a new sample, so that a caller that abandoned an address receives different ones, and may receive that address
     * again later.
     *
     * @param dataCentre data centre of the caller, whose instances are preferred
     * @param limit maximum length of the list
     */
    public List<String> someAddresses(Optional<String> dataCentre, int limit) {
        return shuffledByLoad(usableMembers(), dataCentre).stream().limit(limit).toList();
    }

    private List<Member> usableMembers() {
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

    /** Returns the response to {@code GET /v1/instances}. */
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

    /**
     * Orders members by weighted random sampling without replacement: the sort key is an exponential variate whose mean
     * is the load.
     */
    private List<String> shuffledByLoad(List<Member> members, Optional<String> dataCentre) {
        List<SortableAddress> sortable = new ArrayList<>();
        synchronized (this) {
            for (Member member : members) {
                double variate = -Math.log(1 - random.nextDouble());
                boolean distant = dataCentre
                        .filter(near -> !near.equals(member.dataCentre()))
                        .isPresent();
                double weight = (member.requestsInFlight() + LOAD_OFFSET) * (distant ? DISTANT_FACTOR : 1);
                sortable.add(new SortableAddress(variate * weight, member.callerAddress()));
            }
        }
        return sortable.stream()
                .sorted(Comparator.comparingDouble(SortableAddress::sortKey))
                .map(SortableAddress::address)
                .toList();
    }

    /** An address with its sort key. */
    private record SortableAddress(double sortKey, String address) {}
}
