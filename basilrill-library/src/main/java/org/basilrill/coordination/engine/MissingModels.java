package org.basilrill.coordination.engine;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.function.ToDoubleFunction;
import org.basilrill.api.ModelId;

/**
 * Decides in which order models without a copy are placed. Those of little demand come after the second copies of the
 * busiest models and after further ones of overloaded models: an engine that loads a model takes no order for seconds,
 * and in that time a crash may end the only copy that most requests need. Immutable and thread safe.
 */
final class MissingModels {
    /**
     * Demand in tokens per second that justifies a second copy before a missing model: a small part of the capacity of
     * an engine.
     */
    private static final double MIN_SECOND_COPY_RATE = 8_000;
    /** A missing model comes after a further copy if its demand is below this share of the demand per copy there. */
    private static final double LITTLE_DEMAND_SHARE = 0.05;

    private final List<ModelId> first;
    private final List<ModelId> furtherCopies;
    private final List<ModelId> last;

    /**
     * Orders the models.
     *
     * @param overloadRate demand per copy in tokens per second above which a model is overloaded
     */
    MissingModels(Collection<ModelId> models, PoolDemand demand, CopyCounts copies, double overloadRate) {
        Comparator<ModelId> busiestFirst = Comparator.comparingDouble((ModelId model) -> -demand.rate(model))
                .thenComparing(model -> model);
        List<ModelId> missing = models.stream()
                .filter(model -> copies.all(model) == 0)
                .sorted(Comparator.comparing((ModelId model) -> !demand.isAwaited(model))
                        .thenComparing(busiestFirst))
                .toList();
        ToDoubleFunction<ModelId> ratePerCopy = model -> demand.rate(model) / copies.all(model);
        List<ModelId> scarce = models.stream()
                .filter(model -> copies.all(model) == 1 && demand.rate(model) > MIN_SECOND_COPY_RATE
                        || copies.all(model) > 1 && ratePerCopy.applyAsDouble(model) > overloadRate)
                .sorted(Comparator.comparingDouble((ModelId model) -> -ratePerCopy.applyAsDouble(model))
                        .thenComparing(model -> model))
                .toList();
        double littleRate = LITTLE_DEMAND_SHARE
                * scarce.stream().mapToDouble(ratePerCopy).findFirst().orElse(0);
        last = missing.stream()
                .filter(model -> !demand.isAwaited(model) && demand.rate(model) < littleRate)
                .toList();
        first = missing.stream().filter(model -> !last.contains(model)).toList();
        furtherCopies = last.isEmpty() ? List.of() : scarce;
    }

    /** Returns the models to place first: those with queued requests, then by descending demand. */
    List<ModelId> first() {
        return first;
    }

    /** Returns the models that get a further copy before the remaining ones are placed. */
    List<ModelId> furtherCopies() {
        return furtherCopies;
    }

    /** Returns the models to place last. */
    List<ModelId> last() {
        return last;
    }
}
