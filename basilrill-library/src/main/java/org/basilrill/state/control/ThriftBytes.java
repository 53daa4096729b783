package org.basilrill.state.control;

import java.util.function.Supplier;
import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/** Converts Thrift structs of the control log to bytes and back. Stateless and thread safe. */
public final class ThriftBytes {
    private ThriftBytes() {}

    /** Encodes a struct. Fails with {@code INTERNAL} if a required field is not set. */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException exception) {
            throw new BasilrillException(ErrorCode.INTERNAL, "struct cannot be encoded", exception);
        }
    }

    /** Decodes a struct. Fails with {@code MESSAGE_MALFORMED} if the bytes do not hold a complete one. */
    public static <T extends TBase<?, ?>> T decode(Supplier<T> empty, byte[] bytes) {
        T struct = empty.get();
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(struct, bytes);
        } catch (TException | RuntimeException exception) {
            // The compact protocol reports some malformed lengths by unchecked exceptions.
            String detail = struct.getClass().getSimpleName() + " cannot be decoded";
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, detail, exception);
        }
        return struct;
    }
}
