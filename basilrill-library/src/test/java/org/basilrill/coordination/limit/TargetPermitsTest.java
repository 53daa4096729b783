package org.basilrill.coordination.limit;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.Announcements;
import org.basilrill.coordination.limit.LimitMessage.PermitGrant;
import org.basilrill.coordination.limit.LimitMessage.PermitIssue;
import org.basilrill.coordination.limit.LimitMessage.PermitReport;
import org.basilrill.coordination.limit.RequestPermits.QueuedDemand;
import org.basilrill.protocol.peer.ThriftLimitCodec;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement;
import org.junit.jupiter.api.Test;

/** Guards what one instance reports to the issuer, and which permits it accepts. */
class TargetPermitsTest {
    private static final InstanceId ISSUER = new InstanceId("issuer");
    private static final TargetAnnouncement TARGET = Announcements.engine("engine-1", 64, "hot");
    private static final TargetKey KEY = TargetKey.of(TARGET);

    private final VirtualTime time = new VirtualTime();
    private final ThriftLimitCodec codec = new ThriftLimitCodec();
    private final List<PermitReport> reports = new ArrayList<>();
    private final LimitMessenger messenger = new LimitMessenger(
            new InstanceId("entry"),
            (recipient, subject, payload) -> reports.add((PermitReport) codec.decode(payload)),
            codec,
            time);
    private final TargetPermits permits = new TargetPermits(
            new TargetPermits.Environment(() -> Optional.of(ISSUER), messenger, (TargetId id) -> {}, time, time),
            new Random(1));

    TargetPermitsTest() {
        permits.observe(TARGET, Optional.of(new RequestRate(1)));
    }

    /** Guards against permits of two leaders that are used together. */
    @Test
    void aPermitOfAnEarlierTermIsNotUsed() {
        demand(2);
        grant(2, 1);
        grant(1, 9);
        assertThat(permits.acquire(TARGET), is(true));
        assertThat(permits.acquire(TARGET), is(false));
    }

    /** Guards against the demand of refused requests that delays other instances until it expires at the issuer. */
    @Test
    void aDemandThatEndsIsReportedWithinMilliseconds() {
        demand(2);
        assertThat(last().demands().get(0).waiting(), is(2));
        demand(0);
        assertThat(last().demands().get(0).waiting(), is(0));
    }

    /** Guards against requests to a limited target while no permit was issued. */
    @Test
    void aTargetThatStatesARateGetsNothingWithoutAPermit() {
        assertThat(permits.isAvailable(TARGET), is(false));
        assertThat(permits.acquire(TARGET), is(false));
    }

    /** Guards against a limit that outlives the incarnation of the target that stated it. */
    @Test
    void aNewIncarnationOfTheTargetIsNotLimited() {
        assertThat(permits.acquire(TARGET), is(false));
        TargetAnnouncement next =
                Announcements.withChanges(TARGET, TARGET.incarnation() + 1, 1, TARGET.timeToLiveMillis(), 0, false);
        assertThat(permits.acquire(next), is(true));
    }

    private void demand(int requests) {
        permits.updateDemand(requests == 0 ? Map.of() : Map.of(KEY, new QueuedDemand(requests, 0)));
        time.advance(Duration.ofMillis(5));
    }

    private void grant(long term, long number) {
        PermitGrant grant = new PermitGrant(KEY, number, 1, 0, 1000, last().sequence());
        messenger.received(ISSUER, codec.encode(new PermitIssue(term, List.of(grant), List.of())));
    }

    private PermitReport last() {
        return reports.get(reports.size() - 1);
    }
}
