package org.basilrill.coordination.consensus;

import java.util.Comparator;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;

/**
 * Identifies one replica by its instance and the incarnation of its data folder. A replica that lost its data folder
 * gets a new identity. Immutable and thread safe.
 *
 * @param incarnation random number created with the data folder, never 0
 */
public record ReplicaId(InstanceId instance, long incarnation) implements Comparable<ReplicaId> {
    /** A character that instance names cannot contain, so the encoded form is unambiguous. */
    private static final char SEPARATOR = '#';

    private static final int HEXADECIMAL = 16;
    private static final Comparator<ReplicaId> ORDER =
            Comparator.comparing(ReplicaId::instance).thenComparing(ReplicaId::incarnation);

    /**
     * Decodes the text form.
     *
     * @throws BasilrillException with {@link ErrorCode#MESSAGE_MALFORMED} if the text is not a replica identity
     */
    public static ReplicaId parse(String text) {
        int separator = text.indexOf(SEPARATOR);
        if (separator < 0) {
            throw malformed(text, null);
        }
        try {
            return new ReplicaId(
                    new InstanceId(text.substring(0, separator)),
                    Long.parseUnsignedLong(text.substring(separator + 1), HEXADECIMAL));
        } catch (NumberFormatException exception) {
            throw malformed(text, exception);
        }
    }

    @Override
    public int compareTo(ReplicaId other) {
        return ORDER.compare(this, other);
    }

    /** Returns the text form, which {@link #parse} decodes. */
    @Override
    public String toString() {
        return instance.value() + SEPARATOR + Long.toHexString(incarnation);
    }

    private static BasilrillException malformed(String text, Exception cause) {
        return new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "\"" + text + "\" is not a replica identity", cause);
    }
}
