package org.basilrill.state.control;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.SuspectId;

/**
 * A request or a part of prompts that was at crashed targets and has had no response since. Immutable and thread safe.
 *
 * @param crashes crashes that count against the suspect
 * @param block time from the block until one request with the suspect is permitted as a trial; empty if not blocked
 * @param group number of the group of blocked suspects that are refused only together: prompt parts that the crashes do
 *     not tell apart. A blocked request is a group of its own. Zero if not blocked
 */
public record CrashSuspect(SuspectId id, int crashes, Optional<Duration> block, int group) {
    /** Returns whether requests with all suspects of the group are refused. */
    public boolean blocked() {
        return block.isPresent();
    }
}
