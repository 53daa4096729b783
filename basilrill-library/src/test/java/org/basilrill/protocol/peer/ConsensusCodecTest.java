package org.basilrill.protocol.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Arrays;
import java.util.List;
import java.util.Random;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.coordination.consensus.AddressedMessage;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendRequest;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.junit.jupiter.api.Test;

/** Tests the codec with corrupt messages. Valid messages are covered by the cluster tests. */
class ConsensusCodecTest {
    private static final byte[] ENCODED = ConsensusCodec.encode(new AddressedMessage(
            1, 2, new AppendRequest(3, 4, 5, 6, 7, List.of(new LogRecord(5, 3, RecordKind.COMMAND, new byte[] {1, 2, 3
            })))));

    /** Guards against a truncated message being accepted as a shorter one. */
    @Test
    void everyTruncatedMessageIsRefused() {
        for (int length = 0; length < ENCODED.length; length++) {
            byte[] truncated = Arrays.copyOf(ENCODED, length);
            BasilrillException refusal =
                    assertThrows(BasilrillException.class, () -> ConsensusCodec.decode(truncated), "length " + length);
            assertThat(refusal.code(), is(ErrorCode.MESSAGE_MALFORMED));
        }
    }

    /** Guards against corruption that causes another exception or an allocation for an oversized length. */
    @Test
    void damagedMessagesAreDecodedOrRefused() {
        Random random = new Random(11);
        for (int round = 0; round < 20_000; round++) {
            byte[] damaged = ENCODED.clone();
            for (int change = 0; change <= random.nextInt(3); change++) {
                damaged[random.nextInt(damaged.length)] = (byte) random.nextInt();
            }
            try {
                ConsensusCodec.decode(damaged);
            } catch (BasilrillException refusal) {
                assertThat(refusal.code(), is(ErrorCode.MESSAGE_MALFORMED));
            }
        }
    }
}
