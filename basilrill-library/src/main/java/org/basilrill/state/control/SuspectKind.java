package org.basilrill.state.control;

import java.time.Duration;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.SuspectId;

/** The limits by which suspects of one kind are judged. Immutable and thread safe. */
enum SuspectKind {
    /**
     * Trials grow by a moderate factor, as many sound requests may contain a part that was blocked by mistake.
     */
    PROMPT_PART(512, Duration.ofMinutes(10), 12, Duration.ofHours(8)) {
        @Override
        boolean suffices(int crashes, long independent) {
            return independent >= INDEPENDENT_CRASHES_OF_PART
                    || crashes >= CRASHES_OF_PART && independent >= LEAST_INDEPENDENT_CRASHES;
        }
    },

    /**
     * A request may return after hours, so its crashes are kept as long as its block. Only two trials fit into a day,
     * as each one of a request that still crashes targets costs a target.
     */
    REQUEST(4_096, Duration.ofHours(24), 150, Duration.ofHours(24)) {
        @Override
        boolean suffices(int crashes, long independent) {
            return crashes >= CRASHES_OF_REQUEST && independent >= LEAST_INDEPENDENT_CRASHES;
        }
    };

    /** Time after which a block ends without another crash or trial. */
    static final Duration BLOCK_RETENTION = Duration.ofHours(24);

    /** Short, so that a sound suspect that was blocked by mistake is soon served again. */
    private static final Duration FIRST_BLOCK = Duration.ofSeconds(5);

    /** More than the usual number of attempts of one request, so that its parts are not blocked with it. */
    private static final int INDEPENDENT_CRASHES_OF_PART = 3;

    /** Crashes that suffice to block a part although several of them came at once. */
    private static final int CRASHES_OF_PART = 5;

    private static final int CRASHES_OF_REQUEST = 3;

    private static final int LEAST_INDEPENDENT_CRASHES = 2;

    private final int maximum;
    private final Duration suspicion;
    private final int blockFactor;
    private final Duration longestBlock;

    SuspectKind(int maximum, Duration suspicion, int blockFactor, Duration longestBlock) {
        this.maximum = maximum;
        this.suspicion = suspicion;
        this.blockFactor = blockFactor;
        this.longestBlock = longestBlock;
    }

    static SuspectKind of(SuspectId suspect) {
        return suspect instanceof PromptPartId ? PROMPT_PART : REQUEST;
    }

    /**
     * Returns whether so many crashes suffice to block a suspect unless other suspects explain them.
     *
     * @param independent how many of them cannot have had the cause of the one before
     */
    abstract boolean suffices(int crashes, long independent);

    /** Returns how many suspects are kept, as every request at a crashed target is reported. */
    int maximum() {
        return maximum;
    }

    /** Returns the time after which a suspect that is not blocked is dropped without another crash. */
    Duration suspicion() {
        return suspicion;
    }

    /** Returns the time from a block, or from the last trial, to the next trial. */
    Duration block(int trials) {
        Duration block = FIRST_BLOCK;
        for (int trial = 0; trial < trials && block.compareTo(longestBlock) < 0; trial++) {
            block = block.multipliedBy(blockFactor);
        }
        return block.compareTo(longestBlock) < 0 ? block : longestBlock;
    }
}
