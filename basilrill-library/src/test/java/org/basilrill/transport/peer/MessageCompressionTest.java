package org.basilrill.transport.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.sameInstance;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.thrift.envelope.Envelope;
import org.junit.jupiter.api.Test;

/** Tests which messages are deflated, and that each receiver reads what was sent. */
class MessageCompressionTest {
    private static final InstanceId PEER = new InstanceId("peer");
    private static final byte[] RULES =
            "{\"name\":\"route\",\"path_prefix\":\"/a/\"},".repeat(10_000).getBytes(StandardCharsets.UTF_8);

    private final MessageCompression compression = new MessageCompression(1 << 20);

    /** Guards against rules that take as long on the link as thousands of requests. */
    @Test
    void aLargeMessageToAnInstanceThatAcceptsItIsDeflatedAndReadAsItWasSent() {
        compression.observe(PEER, message(new byte[1]));
        Envelope sent = compression.forLink(PEER, message(RULES));
        assertThat(sent.getPayload().length, lessThan(RULES.length / 10));
        assertThat(Arrays.equals(compression.payload(sent), RULES), is(true));
        assertThat(Arrays.equals(compression.plain(sent).getPayload(), RULES), is(true));
        assertThat(compression.plain(sent).isDeflated(), is(false));
    }

    /** Guards against a build of an earlier release that cannot read the messages of this one. */
    @Test
    void anInstanceThatStatesNothingOrRunsAnEarlierBuildAgainReceivesPlainMessages() {
        Envelope large = message(RULES);
        assertThat(compression.forLink(PEER, large), sameInstance(large));
        compression.observe(PEER, message(new byte[1]));
        compression.observe(PEER, message(new byte[1]).setAcceptsDeflated(false));
        assertThat(compression.forLink(PEER, large), sameInstance(large));
    }

    /** Guards against the loss of the mark in an instance of an earlier release that passes the message on. */
    @Test
    void aMessageThatIsToBePassedOnStaysPlain() {
        compression.observe(PEER, message(new byte[1]));
        Envelope passedOn = message(RULES).setRecipient("other");
        assertThat(compression.forLink(PEER, passedOn), sameInstance(passedOn));
    }

    @Test
    void aMessageThatWasPassedOnSaysNothingOfTheBuildOfItsSender() {
        compression.observe(PEER, message(new byte[1]).setForwarder("other"));
        Envelope large = message(RULES);
        assertThat(compression.forLink(PEER, large), sameInstance(large));
    }

    @Test
    void aSmallMessageStaysPlain() {
        compression.observe(PEER, message(new byte[1]));
        Envelope small = message(new byte[MessageCompression.MINIMUM_BYTES - 1]);
        assertThat(compression.forLink(PEER, small), sameInstance(small));
    }

    /** Guards against a damaged message that exhausts the heap or is read in part. */
    @Test
    void eachProperPrefixAndAPayloadAboveTheLimitAreRejected() {
        compression.observe(PEER, message(new byte[1]));
        Envelope sent = compression.forLink(PEER, message(RULES));
        for (int length = 0; length < sent.getPayload().length; length += 7) {
            Envelope prefix = new Envelope(sent).setPayload(Arrays.copyOf(sent.getPayload(), length));
            assertRejected(compression, prefix);
        }
        assertRejected(new MessageCompression(RULES.length - 1), sent);
        assertRejected(compression, message(RULES).setDeflated(true));
    }

    private static void assertRejected(MessageCompression reader, Envelope damaged) {
        BasilrillException failure = assertThrows(BasilrillException.class, () -> reader.payload(damaged));
        assertThat(failure.code(), is(ErrorCode.MESSAGE_MALFORMED));
    }

    private static Envelope message(byte[] payload) {
        Envelope envelope = new Envelope();
        envelope.setSender(PEER.value());
        envelope.setPayload(payload);
        envelope.setAcceptsDeflated(true);
        return envelope;
    }
}
