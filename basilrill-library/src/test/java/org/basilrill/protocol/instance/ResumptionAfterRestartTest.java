package org.basilrill.protocol.instance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import org.basilrill.api.InstanceId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.membership.GossipMembership;
import org.basilrill.coordination.membership.RestartNews;
import org.basilrill.coordination.membership.TargetPublisher;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.instance.CoordinatorFixture.Started;
import org.basilrill.protocol.instance.FakeConnector.FakeCall;
import org.basilrill.protocol.peer.GossipCodec;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetRegistry;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Guards against a stream that an instance resumes at a target which has started again with other software, because
 * only another instance had an exchange there when it ended.
 */
class ResumptionAfterRestartTest {
    private static final Duration MESSAGE_DELAY = Duration.ofMillis(2);
    private static final TargetAnnouncement RESTARTED = FakeServices.target("target-1", 9001, "pool", "v1");
    private static final TargetAnnouncement OTHER = FakeServices.target("target-2", 9002, "pool", "v1");

    private final VirtualTime time = new VirtualTime();
    private final Map<InstanceId, Node> nodes = new HashMap<>();
    private final Node withSign = new Node("i1");
    private final Node withoutSign = new Node("i2");
    private final CoordinatorFixture fixture = StreamVersionTest.instance();

    @BeforeEach
    void announceTargets() {
        nodes.values().forEach(node -> node.membership.start());
        time.advance(Duration.ofSeconds(3));
        withSign.publisher.receiveAnnouncement(RESTARTED);
        withSign.publisher.receiveAnnouncement(OTHER);
        time.advance(Duration.ofMillis(100));
    }

    @Test
    void theStreamIsResumedAtAnotherTargetOfItsVersion() {
        cutStream();
        withSign.news.connectionRefused(RESTARTED);
        time.advance(Duration.ofMillis(10));
        takeUp();
        assertThat(last().target(), is(OTHER));
    }

    @Test
    void aStreamThatBeginsAtTheRestartedTargetIsNotResumedUnderTheAnnouncedVersion() {
        withSign.news.connectionRefused(RESTARTED);
        time.advance(Duration.ofMillis(10));
        cutStream();
        assertThat(last().target().id(), is(RESTARTED.id()));
        takeUp();
        assertThat(last().target(), is(RESTARTED.withUnconfirmedVersion()));
    }

    /** Begins a stream at the first target and leaves it incomplete. */
    private void cutStream() {
        showTargets();
        Started started = send("r-1");
        last().stream();
        last().data("id: 1\ndata: a\n\n");
        started.running().callerDisconnected();
    }

    private void takeUp() {
        showTargets();
        send("r-2", StubDialect.LAST_EVENT, "1", StubDialect.FIRST_REQUEST, "r-1");
    }

    private Started send(String requestId, String... more) {
        String[] fields = new String[4 + more.length];
        System.arraycopy(
                new String[] {"Host", StreamVersionTest.HOST, RequestHead.REQUEST_ID, requestId}, 0, fields, 0, 4);
        System.arraycopy(more, 0, fields, 4, more.length);
        return fixture.start(CoordinatorFixture.head("POST", "/stream/x", fields), "body");
    }

    private void showTargets() {
        fixture.services().targets().clear();
        fixture.services().targets().addAll(withoutSign.registry.targets());
    }

    private FakeCall last() {
        return fixture.connector().last();
    }

    /** What one instance knows of the targets. */
    private final class Node {
        private final TargetRegistry registry = new TargetRegistry(time);
        private final GossipMembership membership;
        private final TargetPublisher publisher;
        private final RestartNews news;

        Node(String name) {
            InstanceId self = new InstanceId(name);
            membership = new GossipMembership(
                    self,
                    List.of(new InstanceId("i1"), new InstanceId("i2")),
                    1,
                    time,
                    time,
                    new Random(3),
                    (recipient, message) -> send(self, recipient, GossipCodec.encode(message)));
            publisher = new TargetPublisher(membership, registry, time);
            news = new RestartNews(membership, registry, time);
            nodes.put(self, this);
        }

        private void send(InstanceId self, InstanceId recipient, byte[] payload) {
            time.schedule(
                    MESSAGE_DELAY, () -> nodes.get(recipient).membership.received(self, GossipCodec.decode(payload)));
        }
    }
}
