package org.basilrill.transport.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import com.codahale.metrics.MetricRegistry;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.VirtualTime;
import org.basilrill.thrift.envelope.Envelope;
import org.junit.jupiter.api.Test;

/** Guards the queue of a link, and its recovery from connections that are silent, refused or idle. */
class PeerLinkTest {
    private static final int LARGE_MESSAGE_BYTES = 512 * 1024;

    private final VirtualTime time = new VirtualTime();
    private final List<FakeConnection> opened = new ArrayList<>();
    private final PeerLink link = new PeerLink(this::open, time, new PeerTraffic(new MetricRegistry()));

    /** Guards the heap against large messages to an instance that does not take them, and against losing the newest. */
    @Test
    void theQueueHoldsTheNewestMessagesWithinItsBytes() {
        for (int number = 0; number < 10; number++) {
            link.send(message(number, LARGE_MESSAGE_BYTES));
        }
        confirmAll();
        assertThat(opened.get(0).delivered, contains(0, 6, 7, 8, 9));
    }

    @Test
    void messagesSentWhileABatchIsUnderWayGoTogetherInTheNext() {
        link.send(message(1, 10));
        link.send(message(2, 10));
        link.send(message(3, 10));
        confirmAll();
        assertThat(opened.get(0).batches, is(2));
    }

    /** Guards against a connection that went silent and would hold all later messages back for good. */
    @Test
    void aSilentConnectionIsReplacedAfterTheTimeout() {
        link.send(message(1, 10));
        link.send(message(2, 10));
        time.advance(PeerLink.ANSWER_TIMEOUT.plusMillis(1));
        link.check();
        assertThat(opened.get(0).closed, is(true));
        time.advance(PeerLink.RECONNECT_DELAY);
        link.send(message(3, 10));
        assertThat(opened.get(1).delivered, contains(3));
    }

    /** Guards against a late answer of a connection that was given up: it confirmed a batch of the next connection. */
    @Test
    void anOutcomeAfterTheTimeoutHasNoEffect() {
        link.send(message(1, 10));
        PeerConnection.Outcome late = opened.get(0).outcome;
        time.advance(PeerLink.ANSWER_TIMEOUT.plusMillis(1));
        link.check();
        time.advance(PeerLink.RECONNECT_DELAY);
        link.send(message(2, 10));
        link.send(message(3, 10));
        late.ended(true);
        assertThat(opened.get(1).delivered, contains(2));
    }

    @Test
    void anInstanceThatIsDownIsNotDialledForEveryMessage() {
        link.send(message(1, 10));
        opened.get(0).outcome.ended(false);
        link.send(message(2, 10));
        assertThat(opened.size(), is(1));
        time.advance(PeerLink.RECONNECT_DELAY);
        link.send(message(3, 10));
        assertThat(opened.get(1).delivered, contains(3));
    }

    /** Guards against a connection from each instance to every other one. */
    @Test
    void anIdleConnectionIsClosedAndOpenedAgainWhenNeeded() {
        link.send(message(1, 10));
        confirmAll();
        time.advance(PeerLink.IDLE_LIMIT.plusMillis(1));
        link.check();
        assertThat(opened.get(0).closed, is(true));
        link.send(message(2, 10));
        assertThat(opened.get(1).delivered, contains(2));
    }

    @Test
    void aClosedLinkSendsNothing() {
        link.send(message(1, 10));
        link.close();
        time.advance(Duration.ofSeconds(1));
        link.send(message(2, 10));
        assertThat(opened.size(), is(1));
        assertThat(opened.get(0).closed, is(true));
        assertThat(opened.get(0).waiting(), empty());
    }

    private PeerConnection open() {
        FakeConnection connection = new FakeConnection();
        opened.add(connection);
        return connection;
    }

    private void confirmAll() {
        FakeConnection last = opened.get(opened.size() - 1);
        while (!last.waiting().isEmpty()) {
            PeerConnection.Outcome outcome = last.outcome;
            last.outcome = null;
            outcome.ended(true);
        }
    }

    private static Envelope message(int number, int bytes) {
        byte[] payload = new byte[bytes];
        Arrays.fill(payload, (byte) number);
        return new Envelope("one", "", (short) PeerSubject.MEMBERSHIP.wireNumber(), ByteBuffer.wrap(payload));
    }

    /** Keeps the outcome of the batch under way until the test tells it. */
    private static final class FakeConnection implements PeerConnection {
        private final List<Integer> delivered = new ArrayList<>();
        private int batches;
        private Outcome outcome;
        private boolean closed;

        @Override
        public void deliver(List<Envelope> batch, Outcome told) {
            batch.forEach(envelope -> delivered.add((int) envelope.getPayload()[0]));
            batches++;
            outcome = told;
        }

        @Override
        public void close() {
            closed = true;
            outcome = null;
        }

        private List<Outcome> waiting() {
            return outcome == null ? List.of() : List.of(outcome);
        }
    }
}
