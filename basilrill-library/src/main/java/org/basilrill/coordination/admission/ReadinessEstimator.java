package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.ModelId;

/** Estimates when a model will have a ready copy. Implementations are thread safe and do not block. */
@FunctionalInterface
public interface ReadinessEstimator {
    /** Returns the time until the model is ready, if a load is in progress or planned and its end can be estimated. */
    Optional<Duration> untilReady(ModelId model);
}
