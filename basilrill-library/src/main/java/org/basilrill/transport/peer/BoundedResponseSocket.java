package org.basilrill.transport.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import org.apache.thrift.transport.TNonblockingSocket;
import org.apache.thrift.transport.TTransportException;

/**
 * A client socket that rejects responses above a size limit. The Thrift library allocates memory according to the
 * length prefix of a response, which may be corrupt. Used by one thread at a time.
 */
final class BoundedResponseSocket extends TNonblockingSocket {
    /** Largest accepted response. Valid responses are empty or hold a short error, so a larger length is corrupt. */
    static final int MAXIMUM_RESPONSE_BYTES = 64 * 1024;

    BoundedResponseSocket(String host, int port) throws IOException, TTransportException {
        super(host, port);
    }

    @Override
    public int read(ByteBuffer buffer) throws TTransportException {
        int read = super.read(buffer);
        if (isWholeLength(buffer) && Integer.compareUnsigned(buffer.getInt(0), MAXIMUM_RESPONSE_BYTES) > 0) {
            throw new TTransportException(
                    TTransportException.CORRUPTED_DATA, "a response of " + buffer.getInt(0) + " bytes is too long");
        }
        return read;
    }

    /** Detects a complete length prefix, which the library reads separately into a buffer of exactly its size. */
    private static boolean isWholeLength(ByteBuffer buffer) {
        return buffer.limit() == Integer.BYTES && !buffer.hasRemaining();
    }
}
