package org.basilrill.api;

import java.util.Objects;

/**
 * Identifies a part of a prompt that several requests may contain, such as a system prompt or a document. Immutable and
 * thread safe.
 *
 * @param scope service or model whose targets process the part; equal texts at different services are different parts
 * @param value identifies the text within the scope
 */
public record PromptPartId(String scope, long value) implements SuspectId {
    private static final char SEPARATOR = '/';
    private static final int HEXADECIMAL = 16;

    public PromptPartId {
        Objects.requireNonNull(scope, "scope");
    }

    /**
     * Returns the part with this name, as {@link #toString} writes it.
     *
     * @throws BasilrillException with {@code INVALID_NAME} if the text is not such a name
     */
    public static PromptPartId parse(String name) {
        int separator = name.lastIndexOf(SEPARATOR);
        try {
            return new PromptPartId(
                    name.substring(0, Math.max(0, separator)),
                    Long.parseUnsignedLong(name.substring(separator + 1), HEXADECIMAL));
        } catch (NumberFormatException exception) {
            throw new BasilrillException(
                    ErrorCode.INVALID_NAME, "\"" + name + "\" is not a prompt part such as service/1f2e", exception);
        }
    }

    /** Returns the scope and the value in hexadecimal digits, as operators write it. */
    @Override
    public String toString() {
        return scope + SEPARATOR + Long.toHexString(value);
    }
}
