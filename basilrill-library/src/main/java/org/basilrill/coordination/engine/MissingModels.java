package org.basilrill.coordination.engine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import org.basilrill.api.ModelId;

/**
 * Decides in which order models without a copy are placed. Those of little demand come after the second copies of the
 * busiest models: an engine that loads a model takes no order for seconds, and a crash in that time ends the only copy
 * that most requests need. Immutable and thread safe.
 */
final class MissingModels {
    /**
     * Demand in tokens per second that justifies a second copy before a missing model: a small part of the capacity of
     * an engine.
     */
    private static final double MIN_SECOND_COPY_RATE = 8_000;
    /** A missing model comes after the second copy of a model if its demand is below this share of the other's. */
    private static final double LITTLE_DEMAND_SHARE = 0.05;

    private final List<ModelId> first;
    private final List<ModelId> secondCopies;
    private final List<ModelId> last;

    MissingModels(Collection<ModelId> models, PoolDemand demand, CopyCounts copies) {
        Comparator<ModelId> busiestFirst = Comparator.comparingDouble((ModelId model) -> -demand.rate(model))
                .thenComparing(model -> model);
        List<ModelId> missing = models.stream()
                .filter(model -> copies.all(model) == 0)
                .sorted(Comparator.comparing((ModelId model) -> !demand.isAwaited(model))
                        .thenComparing(busiestFirst))
                .toList();
        List<ModelId> single = models.stream()
                .filter(model -> copies.all(model) == 1 && demand.rate(model) > MIN_SECOND_COPY_RATE)
                .sorted(busiestFirst)
                .toList();
        double littleRate = LITTLE_DEMAND_SHARE
                * single.stream().mapToDouble(demand::rate).findFirst().orElse(0);
        last = missing.stream()
                .filter(model -> !demand.isAwaited(model) && demand.rate(model) < littleRate)
                .toList();
        first = missing.stream().filter(model -> !last.contains(model)).toList();
        secondCopies = last.isEmpty() ? List.of() : single;
    }

    /** Returns the models to place first: those with queued requests, then by descending demand. */
    List<ModelId> first() {
        return first;
    }

    /** Returns the models that get a second copy before the remaining ones are placed. */
    List<ModelId> secondCopies() {
        return secondCopies;
    }

    /** Returns the models to place last. */
    List<ModelId> last() {
        return last;
    }
}
