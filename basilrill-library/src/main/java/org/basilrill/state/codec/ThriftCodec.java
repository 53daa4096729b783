package org.basilrill.state.codec;

import java.util.function.Supplier;
import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/** Converts Thrift structs to bytes in the compact protocol, and back. Stateless and thread safe. */
public final class ThriftCodec {
    /** Deepest nesting of unknown fields that is skipped; without a limit, crafted nesting overflows the stack. */
    private static final int MAXIMUM_SKIP_DEPTH = 64;

    static {
        TProtocolUtil.setMaxSkipDepth(MAXIMUM_SKIP_DEPTH);
    }

    private ThriftCodec() {}

    /**
     * Encodes a struct.
     *
     * @throws BasilrillException with {@code INTERNAL} if a required field is not set
     */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException exception) {
            throw new BasilrillException(ErrorCode.INTERNAL, nameOf(struct) + " cannot be encoded", exception);
        }
    }

    /**
     * Decodes a struct. A length in the encoding is refused if it exceeds the encoding's own size: with the default
     * limits of Thrift, a damaged length made the decoder allocate until the heap was exhausted.
     *
     * @throws BasilrillException with {@code MESSAGE_MALFORMED} if the bytes do not hold a complete struct
     */
    public static <T extends TBase<?, ?>> T decode(Supplier<T> empty, byte[] encoded) {
        T struct = empty.get();
        TConfiguration limits = TConfiguration.custom()
                .setMaxMessageSize(encoded.length)
                .setMaxFrameSize(encoded.length)
                .build();
        try {
            TMemoryInputTransport input = new TMemoryInputTransport(limits, encoded);
            struct.read(new TCompactProtocol(input, encoded.length, encoded.length));
            return struct;
        } catch (TException | RuntimeException exception) {
            // The compact protocol reports some malformed lengths by unchecked exceptions.
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, nameOf(struct) + " cannot be decoded", exception);
        }
    }

    private static String nameOf(TBase<?, ?> struct) {
        return struct.getClass().getSimpleName();
    }
}
