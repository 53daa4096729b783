package org.basilrill.protocol.instance;

import com.codahale.metrics.MetricRegistry;
import com.google.common.flogger.FluentLogger;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.coordination.admission.Dispatcher.Destination;

/** Counts and logs the attempts that are refused because no target in an allowed region serves them. Thread safe. */
record ResidencyRefusals(MetricRegistry metrics) {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String REFUSED = "requests.refused-residency";
    /** After the loss of a region, each of its requests is refused. */
    private static final int LOG_SECONDS = 10;

    /** Observes why the dispatcher did not assign a target to an attempt. */
    void observe(Destination destination, Throwable problem) {
        if (!destination.residency().isRestricted() || FailureCauses.of(problem).code() != ErrorCode.NO_TARGET) {
            return;
        }
        metrics.meter(REFUSED).mark();
        LOGGER.atWarning().atMostEvery(LOG_SECONDS, TimeUnit.SECONDS).log(
                "%s: %s, allowed data centres %s",
                LogEvent.RESIDENCY_REFUSED,
                destination
                        .service()
                        .or(() -> destination.model().map(Object::toString))
                        .orElse(""),
                destination.residency().dataCentres().orElseThrow());
    }
}
