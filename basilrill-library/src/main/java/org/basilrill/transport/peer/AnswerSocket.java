package org.basilrill.transport.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * A socket that refuses answers above a limit. The library reserves memory for an answer by the length before it, which
 * may be damaged. Used by one thread at a time.
 */
final class AnswerSocket extends TNonblockingSocket {
    /** An answer holds nothing or a short error; longer lengths in it are damage. */
    static final int MAXIMUM_ANSWER_BYTES = 64 * 1024;

    AnswerSocket(String host, int port) throws IOException, TTransportException {
        super(host, port);
    }

    @Override
    public int read(ByteBuffer buffer) throws TTransportException {
        int read = super.read(buffer);
        if (isWholeLength(buffer) && Integer.compareUnsigned(buffer.getInt(0), MAXIMUM_ANSWER_BYTES) > 0) {
            throw new TTransportException(
                    TTransportException.CORRUPTED_DATA, "an answer of " + buffer.getInt(0) + " bytes is too long");
        }
        return read;
    }

    /** The library reads the length of an answer by itself, into a buffer of its size. */
    private static boolean isWholeLength(ByteBuffer buffer) {
        return buffer.limit() == Integer.BYTES && !buffer.hasRemaining();
    }
}
