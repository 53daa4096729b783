package org.basilrill.state.budget;

import java.util.BitSet;

/**
 * Recognises repeated sequence numbers in a stream that may arrive out of order. A number below the window counts as
 * repeated, so no number is ever accepted twice. Not thread safe; guarded by its user.
 */
public final class SequenceWindow {
    /** Size of the window. A requester sends about 20 messages a second for one account, so it covers 50 s. */
    private static final int SIZE = 1024;

    private final BitSet seen = new BitSet(SIZE);
    private long highest;

    /**
     * Accepts a number that was not accepted before.
     *
     * @param sequence 1 or more
     * @return whether the number is new
     */
    public boolean accept(long sequence) {
        if (sequence <= 0 || sequence <= highest - SIZE) {
            return false;
        }
        if (sequence > highest) {
            clearUpTo(sequence);
            highest = sequence;
        }
        int position = (int) (sequence % SIZE);
        if (seen.get(position)) {
            return false;
        }
        seen.set(position);
        return true;
    }

    private void clearUpTo(long sequence) {
        if (sequence - highest >= SIZE) {
            seen.clear();
            return;
        }
        for (long number = highest + 1; number <= sequence; number++) {
            seen.clear((int) (number % SIZE));
        }
    }
}
