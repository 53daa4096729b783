package org.basilrill.protocol.caller;

import java.util.List;
import java.util.Optional;

/** One header field of a message. Immutable and thread safe. */
public record HeaderField(String name, String value) {
    /** Returns the value of the first field with this name, ignoring case. */
    public static Optional<String> first(List<HeaderField> fields, String name) {
        return fields.stream()
                .filter(field -> field.name().equalsIgnoreCase(name))
                .map(HeaderField::value)
                .findFirst();
    }
}
