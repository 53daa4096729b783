package org.basilrill.api;

/**
 * Identifies what may crash the targets that run it: a whole request, or a part of the prompts of several requests.
 * Implementations are immutable and thread safe.
 */
public sealed interface SuspectId permits PromptPartId, RequestFingerprintId {
    /**
     * Returns the suspect with this name, as {@link Object#toString} of its kind writes it.
     *
     * @throws BasilrillException with {@code INVALID_NAME} if the text is not such a name
     */
    static SuspectId parse(String name) {
        return RequestFingerprintId.isValid(name) ? new RequestFingerprintId(name) : PromptPartId.parse(name);
    }
}
