package org.basilrill.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.TruncatedChunkException;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.AbstractContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;

/**
 * Decodes a chunked body, of a request or a response, and accepts only chunk sizes and trailers that can be read in one
 * way (RFC 9112, section 7.1). The body ends at the empty line after its last chunk and trailers; the end of the
 * connection before it is an error. Extensions and trailers are discarded. Used only by the thread of one connection.
 *
 * <p>The decoder of the HTTP library accepts signs and blanks in sizes and takes the end of the connection as the end
 * of the body.
 */
final class StrictChunkDecoder extends AbstractContentDecoder {
    /** A size without its leading zeros, and extensions, whose content has no meaning here. */
    private static final Pattern SIZE_LINE =
            Pattern.compile("(?=[0-9a-fA-F])0*+([0-9a-fA-F]{0,16})(?:[ \\t]*;.*)?", Pattern.DOTALL);

    private final int maximumTrailers;
    private final CharArrayBuffer line = new CharArrayBuffer(64);
    private Part part = Part.SIZE;
    private long remainingInChunk;
    private int trailers;

    /** What is read next. */
    private enum Part {
        SIZE,
        DATA,
        END_OF_DATA,
        TRAILER
    }

    /**
     * Creates a decoder.
     *
     * @param channel provides the bytes that are not buffered yet
     */
    StrictChunkDecoder(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            BasicHttpTransportMetrics metrics,
            int maximumTrailers) {
        super(channel, buffer, metrics);
        this.maximumTrailers = maximumTrailers;
    }

    /**
     * Reads data of chunks.
     *
     * @return the number of bytes read; -1 after the end of the body
     * @throws TruncatedChunkException if the connection ends before the body
     * @throws MalformedChunkCodingException if a size or a trailer is invalid; names the rule that is broken
     * @throws MessageConstraintException if a line is too long or there are too many trailers
     */
    @Override
    public int read(ByteBuffer target) throws IOException {
        if (isCompleted()) {
            return -1;
        }
        int start = target.position();
        while (!isCompleted() && target.hasRemaining()) {
            boolean progress = part == Part.DATA ? readData(target) : readLine();
            if (progress) {
                continue;
            }
            int received = fillBufferFromChannel();
            if (received < 0 && target.position() == start) {
                throw new TruncatedChunkException("the connection ended inside a chunked body");
            }
            if (received <= 0) {
                break;
            }
        }
        return target.position() - start;
    }

    private boolean readData(ByteBuffer target) {
        int bytes = buffer().read(target, (int) Math.min(remainingInChunk, Integer.MAX_VALUE));
        if (bytes <= 0) {
            return false;
        }
        remainingInChunk -= bytes;
        if (remainingInChunk == 0) {
            part = Part.END_OF_DATA;
        }
        return true;
    }

    private boolean readLine() throws IOException {
        line.clear();
        if (!buffer().readLine(line, false)) {
            return false;
        }
        switch (part) {
            case SIZE -> startChunk(parseSize(line.toString()));
            case END_OF_DATA -> {
                require(line.isEmpty(), "a chunk is longer than its size");
                part = Part.SIZE;
            }
            default -> readTrailer();
        }
        return true;
    }

    private void startChunk(long size) {
        remainingInChunk = size;
        part = size > 0 ? Part.DATA : Part.TRAILER;
    }

    private void readTrailer() throws IOException {
        if (line.isEmpty()) {
            setCompleted();
            return;
        }
        trailers++;
        if (trailers > maximumTrailers) {
            throw new MessageConstraintException("the body has more than " + maximumTrailers + " trailers");
        }
        try {
            MessageFields.parse(line.toString());
        } catch (ProtocolException invalid) {
            throw new MalformedChunkCodingException("in a trailer, " + invalid.getMessage());
        }
    }

    private static long parseSize(String text) throws MalformedChunkCodingException {
        Matcher matcher = SIZE_LINE.matcher(text);
        require(matcher.matches(), "the size of a chunk is not a hexadecimal number or is too large");
        require(MessageFields.isText(text), "the extension of a chunk holds a control character");
        String digits = matcher.group(1);
        long size = digits.isEmpty() ? 0 : Long.parseUnsignedLong(digits, 16);
        require(size >= 0, "the size of a chunk is too large");
        return size;
    }

    private static void require(boolean condition, String rule) throws MalformedChunkCodingException {
        if (!condition) {
            throw new MalformedChunkCodingException(rule);
        }
    }
}
