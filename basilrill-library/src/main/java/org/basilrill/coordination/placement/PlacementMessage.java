package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.state.configuration.Residency;

/** A message of the subject PLACEMENT. Immutable and thread safe. */
public sealed interface PlacementMessage {
    /**
     * Reports the demand at one instance to a replica of the control log.
     *
     * @param incarnation number of the reporting process; increases with each restart of the instance
     * @param sequence increases with each report of one incarnation
     * @param models models whose demand changed recently
     */
    record DemandReport(long incarnation, long sequence, List<ReportedDemand> models) implements PlacementMessage {
        public DemandReport {
            models = List.copyOf(models);
        }
    }

    /** Reports to an instance the estimated time until the models that its requests wait for are ready. */
    record ReadinessReport(Map<ModelId, Duration> untilReady) implements PlacementMessage {
        public ReadinessReport {
            untilReady = Map.copyOf(untilReady);
        }
    }

    /**
     * Demand for one model at one instance.
     *
     * @param tokens tokens requested since the process started; a cumulative total, so that the next report replaces a
     *     lost one
     * @param waiting requests that wait for the first ready copy
     * @param residencies where some of the requests may be served; empty if all may be served everywhere
     */
    record ReportedDemand(ModelId model, long tokens, int waiting, Set<Residency> residencies) {
        public ReportedDemand {
            residencies = Set.copyOf(residencies);
        }

        /** Creates the demand of requests that may be served everywhere. */
        public ReportedDemand(ModelId model, long tokens, int waiting) {
            this(model, tokens, waiting, Set.of());
        }
    }
}
