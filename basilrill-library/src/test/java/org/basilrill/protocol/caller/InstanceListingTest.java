package org.basilrill.protocol.caller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.FixedMembership;
import org.basilrill.coordination.membership.Membership;
import org.junit.jupiter.api.Test;

/** Tests that callers are distributed over the instances. */
class InstanceListingTest {
    private static final InstanceId SELF = new InstanceId("i0");

    private static InstanceListing listing() {
        List<Membership.Member> members = IntStream.range(0, 12)
                .mapToObj(number -> new Membership.Member(
                        new InstanceId("i" + number),
                        "dc-" + number % 3,
                        "address-" + number,
                        "peer-" + number,
                        false,
                        false,
                        true,
                        1,
                        0,
                        false,
                        Optional.empty(),
                        false))
                .toList();
        Membership membership = new FixedMembership(members);
        return new InstanceListing(membership, SELF, new Random(7), Duration.ofSeconds(1));
    }

    @Test
    void everyListIsLimitedAndAllInstancesAreListedOverTime() {
        InstanceListing listing = listing();
        Set<String> named = new HashSet<>();
        List<Integer> sizes = new ArrayList<>();
        for (int round = 0; round < 60; round++) {
            List<String> list = listing.sampleAddresses(Optional.empty(), 5);
            sizes.add(list.size());
            named.addAll(list);
        }
        assertThat(sizes, everyItem(is(5)));
        assertThat(named.size(), is(12));
    }

    @Test
    void instancesInTheDataCentreOfTheCallerComeFirstMoreOften() {
        InstanceListing listing = listing();
        int near = 0;
        for (int round = 0; round < 300; round++) {
            String first = listing.sampleAddresses(Optional.of("dc-1"), 5).get(0);
            near += Integer.parseInt(first.substring("address-".length())) % 3 == 1 ? 1 : 0;
        }
        assertThat(near, greaterThan(130));
        assertThat("instances of other data centres come first, too", near, lessThan(300));
    }
}
