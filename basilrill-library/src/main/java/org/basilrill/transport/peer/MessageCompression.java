package org.basilrill.transport.peer;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.zip.DataFormatException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.Inflater;
import org.apache.thrift.TBaseHelper;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.thrift.envelope.Envelope;

/**
 * Deflates large messages to the instances that state that they accept this. The rules of a large deployment are
 * hundreds of kilobytes of repetitive text, and each instance receives each revision. Messages that another instance
 * passes on stay plain, because a build of an earlier release drops the mark. Thread safe.
 */
final class MessageCompression {
    /** Smaller messages save less time on the link than their compression takes. */
    static final int MINIMUM_BYTES = 16 * 1024;

    private static final int BUFFER_BYTES = 8 * 1024;

    private final int maximumBytes;
    private final Set<InstanceId> accepting = ConcurrentHashMap.newKeySet();

    /**
     * Creates a compression that no instance has accepted yet.
     *
     * @param maximumBytes largest inflated payload that is accepted
     */
    MessageCompression(int maximumBytes) {
        this.maximumBytes = maximumBytes;
    }

    /** Records what a received message states of the build of its sender. */
    void observe(InstanceId sender, Envelope envelope) {
        if (envelope.isSetForwarder()) {
            return;
        }
        if (envelope.isAcceptsDeflated()) {
            accepting.add(sender);
        } else {
            accepting.remove(sender);
        }
    }

    /** Returns the message in the form in which it is sent to the instance at the other end of a link. */
    Envelope forLink(InstanceId receiver, Envelope envelope) {
        boolean small = envelope.bufferForPayload().remaining() < MINIMUM_BYTES;
        if (small || envelope.isDeflated() || envelope.isSetRecipient() || !accepting.contains(receiver)) {
            return envelope;
        }
        Envelope compressed = new Envelope(envelope);
        compressed.setPayload(deflate(bytesOf(envelope)));
        compressed.setDeflated(true);
        return compressed;
    }

    /** Returns the message with a plain payload. */
    Envelope plain(Envelope envelope) {
        if (!envelope.isDeflated()) {
            return envelope;
        }
        Envelope plain = new Envelope(envelope);
        plain.setPayload(payload(envelope));
        plain.setDeflated(false);
        return plain;
    }

    /**
     * Returns the plain payload of a message.
     *
     * @throws BasilrillException with {@code MESSAGE_MALFORMED} if the payload is not complete or too large
     */
    byte[] payload(Envelope envelope) {
        return envelope.isDeflated() ? inflate(bytesOf(envelope)) : bytesOf(envelope);
    }

    private static byte[] deflate(byte[] plain) {
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        ByteArrayOutputStream deflated = new ByteArrayOutputStream();
        try (OutputStream output = new DeflaterOutputStream(deflated, deflater, BUFFER_BYTES)) {
            output.write(plain);
        } catch (IOException exception) {
            throw new BasilrillException(ErrorCode.INTERNAL, "a message could not be deflated", exception);
        } finally {
            deflater.end();
        }
        return deflated.toByteArray();
    }

    private byte[] inflate(byte[] deflated) {
        Inflater inflater = new Inflater();
        try {
            inflater.setInput(deflated);
            ByteArrayOutputStream plain = new ByteArrayOutputStream();
            byte[] buffer = new byte[BUFFER_BYTES];
            while (!inflater.finished()) {
                int count = inflater.inflate(buffer);
                if (count == 0 && !inflater.finished()) {
                    throw malformed("is not complete");
                }
                if (plain.size() + count > maximumBytes) {
                    throw malformed("is too large");
                }
                plain.write(buffer, 0, count);
            }
            return plain.toByteArray();
        } catch (DataFormatException exception) {
            throw malformed("cannot be inflated");
        } finally {
            inflater.end();
        }
    }

    private static BasilrillException malformed(String fault) {
        return new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "the deflated message " + fault);
    }

    private static byte[] bytesOf(Envelope envelope) {
        return TBaseHelper.byteBufferToByteArray(TBaseHelper.rightSize(envelope.bufferForPayload()));
    }
}
