package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.basilrill.api.ModelId;

/** A message of the subject PLACEMENT. Immutable and thread safe. */
public sealed interface PlacementMessage {
    /**
     * Tells a replica of the control log the demand at one instance.
     *
     * @param incarnation random number of the reporting process
     * @param sequence increases with each report of one incarnation
     * @param models models whose demand changed lately
     */
    record DemandReport(long incarnation, long sequence, List<ReportedDemand> models) implements PlacementMessage {
        public DemandReport {
            models = List.copyOf(models);
        }
    }

    /** Tells an instance when the models that its callers wait for will be ready. */
    record ReadinessReport(Map<ModelId, Duration> untilReady) implements PlacementMessage {
        public ReadinessReport {
            untilReady = Map.copyOf(untilReady);
        }
    }

    /**
     * Demand for one model at one instance.
     *
     * @param tokens tokens requested since the process started, so that the next report makes up for a lost one
     * @param waiting requests that wait for a first copy
     */
    record ReportedDemand(ModelId model, long tokens, int waiting) {}
}
