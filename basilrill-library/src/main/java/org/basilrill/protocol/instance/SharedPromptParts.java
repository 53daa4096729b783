package org.basilrill.protocol.instance;

import java.util.List;
import org.basilrill.api.PromptPartId;

/** Selects the parts of a prompt that other requests may contain as well. Stateless and thread safe. */
final class SharedPromptParts {
    /** Limits what one request contributes to a crash report. */
    private static final int MAXIMUM_PARTS = 32;

    private SharedPromptParts() {}

    /**
     * Returns the shared parts, each once. The last part of a prompt belongs to one request or session and is omitted.
     *
     * @param scope service or model that the request is for
     * @param values values of all parts in order
     */
    static List<PromptPartId> of(String scope, List<Long> values) {
        return values.stream()
                .limit(Math.max(0, values.size() - 1))
                .distinct()
                .limit(MAXIMUM_PARTS)
                .map(value -> new PromptPartId(scope, value))
                .toList();
    }
}
