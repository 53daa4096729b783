package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.apache.hc.core5.http.MessageConstraintException;
import org.junit.jupiter.api.Test;

/** Tests which exchange is aborted when responses hold too much memory, without connections. */
class ResponseMemoryTest {
    private static final int KIB = 1024;

    private final ResponseMemory memory = new ResponseMemory(100 * KIB);
    private final List<String> aborted = new ArrayList<>();

    /** Guards against an abort that hits exchanges with little memory, or more than one. */
    @Test
    void onlyTheLargestExchangeIsAbortedAboveTheLimit() throws MessageConstraintException {
        ResponseMemory.Holder small = open("small");
        ResponseMemory.Holder large = open("large");
        ResponseMemory.Holder late = open("late");
        small.delivered(10 * KIB);
        large.delivered(60 * KIB);
        late.read(20 * KIB);
        assertThat(aborted, is(empty()));
        late.read(20 * KIB);
        assertThat(aborted, contains("large"));
        assertThat(memory.heldBytes(), is(50L * KIB));
        late.read(10 * KIB);
        assertThat(aborted, contains("large"));
    }

    /** Guards against a response whose head, trailer or chunk sizes are read without end. */
    @Test
    void anExchangeThatReadsTooMuchWithoutDeliveringFails() throws MessageConstraintException {
        ResponseMemory.Holder holder = open("endless");
        holder.read(40 * KIB);
        assertThrows(MessageConstraintException.class, () -> holder.read(40 * KIB));
    }

    /** Guards against long responses that count as endless, and against memory that is never counted as free. */
    @Test
    void bytesAreFreeOnceTheCallerHasReadThemOrTheExchangeHasEnded() throws MessageConstraintException {
        ResponseMemory.Holder holder = open("long");
        holder.read(KIB);
        holder.retain();
        for (int piece = 0; piece < 100; piece++) {
            holder.read(8 * KIB);
            holder.delivered(8 * KIB);
            holder.consumed(8 * KIB);
        }
        assertThat(memory.heldBytes(), is((long) KIB));
        holder.delivered(5);
        holder.close();
        holder.close();
        holder.consumed(5);
        assertThat(memory.heldBytes(), is(0L));
        assertThat(aborted, is(empty()));
    }

    private ResponseMemory.Holder open(String name) {
        return memory.open(() -> aborted.add(name));
    }
}
