package org.basilrill.state.control;

import java.util.List;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.RandomDistribution;

/** Sequences of numbers from which stateful properties derive their actions. */
public final class Choices {
    private static final int MAXIMUM = 99_999_999;

    private Choices() {}

    /** Returns uniformly distributed sequences; the default distribution prefers small numbers and so few actions. */
    public static Arbitrary<List<Integer>> sequences(int minimumLength, int maximumLength) {
        return Arbitraries.integers()
                .between(0, MAXIMUM)
                .withDistribution(RandomDistribution.uniform())
                .withoutEdgeCases()
                .list()
                .ofMinSize(minimumLength)
                .ofMaxSize(maximumLength);
    }
}
