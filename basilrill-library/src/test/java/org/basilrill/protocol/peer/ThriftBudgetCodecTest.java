package org.basilrill.protocol.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.budget.BudgetMessage;
import org.junit.jupiter.api.Test;

/** Tests the encoding of budget messages. */
class ThriftBudgetCodecTest {
    private static final AccountId ACCOUNT = new AccountId("parish-desk");

    private final ThriftBudgetCodec codec = new ThriftBudgetCodec();

    /** Guards against a field that is not encoded. */
    @Test
    void everyMessageIsDecodedAsItWasEncoded() {
        List<BudgetMessage> messages = List.of(
                new BudgetMessage.FromRequester(
                        ACCOUNT,
                        1,
                        -2,
                        3,
                        Optional.of(new BudgetMessage.Ask(4, 5, 6, 7)),
                        List.of(new BudgetMessage.Report(8, 9, true), new BudgetMessage.Report(10, 11, false)),
                        List.of(new BudgetMessage.Refund(12, Long.MIN_VALUE, 13))),
                new BudgetMessage.FromRequester(ACCOUNT, 1, 2, 3, Optional.empty(), List.of(), List.of()),
                new BudgetMessage.Answer(ACCOUNT, 1, 2, 3, 4, Long.MAX_VALUE, Duration.ofNanos(6)),
                new BudgetMessage.Answer(ACCOUNT, 1, 2, 3, 4, 5, Duration.ZERO),
                new BudgetMessage.Recall(ACCOUNT, 1),
                new BudgetMessage.Handover(ACCOUNT, new InstanceId("entry-1"), 1, 2, 3, 4));
        for (BudgetMessage message : messages) {
            assertThat(codec.decode(codec.encode(message)), is(message));
        }
    }

    /** Guards against exceptions other than {@link BasilrillException}, which would end the connection's thread. */
    @Test
    void arbitraryBytesAreRejectedWithATypedError() {
        Random random = new Random(4717);
        for (int attempt = 0; attempt < 2000; attempt++) {
            byte[] payload = new byte[random.nextInt(60)];
            random.nextBytes(payload);
            try {
                codec.decode(payload);
            } catch (BasilrillException exception) {
                assertThat(exception.code(), is(ErrorCode.MESSAGE_MALFORMED));
            }
        }
        assertThrows(BasilrillException.class, () -> codec.decode(new byte[0]));
    }
}
