package org.basilrill.protocol.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.state.configuration.RegionTable;

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
    private final RegionTable regions;
    private final InstanceId self;
    private final RandomGenerator random;
    private final Duration validity;

    /**
     * Creates a listing.
     *
     * @param regions regions of the data centres
     * @param random source of the order; accessed only while holding the lock of this object
     * @param validity how long callers may use a list
     */
    public InstanceListing(
            Membership membership, RegionTable regions, InstanceId self, RandomGenerator random, Duration validity) {
        this.membership = membership;
        this.regions = regions;
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
     * @param caller where the caller is; instances in its data centre are preferred
     * @param allowedRegions regions that each route of the caller's host allows, without the routes that name none
     * @param limit maximum length of the list
     */
    public List<String> sampleAddresses(CallerLocation caller, List<Set<String>> allowedRegions, int limit) {
        return shuffledByLoad(membersWithin(allowedRegions, caller), caller.dataCentre()).stream()
                .limit(limit)
                .toList();
    }

    /**
     * Where a caller is, as far as it states that.
     *
     * @param region region; if empty, that of the data centre applies
     */
    public record CallerLocation(Optional<String> dataCentre, Optional<String> region) {
        /** A caller that does not state where it is. */
        public static final CallerLocation UNKNOWN = new CallerLocation(Optional.empty(), Optional.empty());
    }

    /**
     * Returns the usable instances in the caller's region and in regions that all routes allow, so that an instance
     * suits whichever of them a request takes. If there are none, those in regions that some route allows; if there are
     * none either, all.
     */
    private List<Member> membersWithin(List<Set<String>> allowedRegions, CallerLocation caller) {
        List<Member> usable = usableMembers();
        if (allowedRegions.isEmpty()) {
            return usable;
        }
        Optional<String> own = caller.region().or(() -> caller.dataCentre().flatMap(regions::regionOf));
        List<Member> byAll = within(
                usable,
                region -> own.equals(Optional.of(region))
                        || allowedRegions.stream().allMatch(allowed -> allowed.contains(region)));
        if (!byAll.isEmpty()) {
            return byAll;
        }
        List<Member> bySome =
                within(usable, region -> allowedRegions.stream().anyMatch(allowed -> allowed.contains(region)));
        return bySome.isEmpty() ? usable : bySome;
    }

    private List<Member> within(List<Member> members, Predicate<String> isAllowed) {
        return members.stream()
                .filter(member ->
                        regions.regionOf(member.dataCentre()).filter(isAllowed).isPresent())
                .toList();
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
    public PlainResponse response() {
        ObjectNode body = MAPPER.createObjectNode();
        ArrayNode instances = body.putArray("instances");
        addresses().forEach(instances::add);
        body.put("valid_for_ms", validity.toMillis());
        return PlainResponse.json(200, body.toString());
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
