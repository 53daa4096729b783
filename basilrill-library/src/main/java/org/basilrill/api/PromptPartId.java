package org.basilrill.api;

import java.util.Objects;

/**
 * Identifies a part of a prompt that several requests may contain, such as a system prompt or a document. Immutable and
 * thread safe.
 *
 * @param scope service or model whose targets process the part; equal texts at different services are different parts
 * @param value identifies the text within the scope
 */
public record PromptPartId(String scope, long value) {
    public PromptPartId {
        Objects.requireNonNull(scope, "scope");
    }

    /** Returns the scope and the value in hexadecimal digits, as operators write it. */
    @Override
    public String toString() {
        return scope + "/" + Long.toHexString(value);
    }
}
