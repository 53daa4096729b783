package org.basilrill.protocol.peer;

import org.apache.thrift.TBase;
import org.apache.thrift.TDeserializer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/** Encodes Thrift structs in the compact protocol. Stateless and thread safe. */
public final class ThriftCodec {
    private ThriftCodec() {}

    /** Returns the encoded struct. */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException exception) {
            throw new BasilrillException(
                    ErrorCode.INTERNAL, "cannot encode " + struct.getClass().getSimpleName(), exception);
        }
    }

    /**
     * Fills an empty struct from its encoding.
     *
     * @throws BasilrillException with {@code MESSAGE_MALFORMED} if the bytes are not such a struct
     */
    public static <T extends TBase<?, ?>> T decode(T empty, byte[] encoded) {
        try {
            new TDeserializer(new TCompactProtocol.Factory()).deserialize(empty, encoded);
            return empty;
        } catch (TException exception) {
            throw new BasilrillException(
                    ErrorCode.MESSAGE_MALFORMED,
                    "not a valid " + empty.getClass().getSimpleName(),
                    exception);
        }
    }
}
