package org.basilrill.state.control;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.PromptPartId;

/**
 * A part of prompts that was at crashed targets and to which no response has begun since. Immutable and thread safe.
 *
 * @param crashes crashes that count against the part
 * @param block time from the block until one request with the part is permitted as a trial; empty if not blocked
 * @param group number of the group of blocked parts that the crashes do not tell apart; requests with all of them are
 *     refused. Zero if not blocked
 */
public record SuspectPart(PromptPartId part, int crashes, Optional<Duration> block, int group) {
    /** Returns whether requests with all parts of the group are refused. */
    public boolean blocked() {
        return block.isPresent();
    }
}
