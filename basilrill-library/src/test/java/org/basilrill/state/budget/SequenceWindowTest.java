package org.basilrill.state.budget;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.ShrinkingMode;
import org.junit.jupiter.api.Test;

/** Guards the detection of repeated messages. */
class SequenceWindowTest {
    /** Guards against a refund that is credited twice because its message arrived twice, however late. */
    @Property(tries = 200, seed = "4716", shrinking = ShrinkingMode.OFF)
    void noNumberIsAcceptedTwice(@ForAll long seed) {
        Random random = new Random(seed);
        SequenceWindow window = new SequenceWindow();
        Set<Long> accepted = new HashSet<>();
        long highest = 1;
        for (int step = 0; step < 3000; step++) {
            highest += random.nextInt(500) == 0 ? random.nextInt(3000) : random.nextInt(2);
            long number = Math.max(1, highest - random.nextInt(random.nextInt(10) == 0 ? 2000 : 20));
            if (window.accept(number)) {
                assertThat("seed " + seed + " number " + number, accepted.add(number), is(true));
            }
        }
    }

    /** Guards against the loss of messages that merely arrive out of order. */
    @Test
    void numbersOutOfOrderAreAcceptedOnce() {
        SequenceWindow window = new SequenceWindow();
        assertThat(window.accept(3), is(true));
        assertThat(window.accept(1), is(true));
        assertThat(window.accept(2), is(true));
        assertThat(window.accept(1), is(false));
    }
}
