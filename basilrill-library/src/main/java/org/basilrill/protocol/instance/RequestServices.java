package org.basilrill.protocol.instance;

import com.codahale.metrics.MetricRegistry;
import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.admission.Dispatcher;
import org.basilrill.coordination.admission.RetryBudget;
import org.basilrill.coordination.admission.TokenAdmission;
import org.basilrill.coordination.crash.SuspectGuard;
import org.basilrill.coordination.limit.RequestPermits;
import org.basilrill.coordination.stream.StreamVersionGuard;
import org.basilrill.protocol.dialect.CallerDialect;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.configuration.RegionTable;
import org.basilrill.state.control.ControlClient;

/**
 * The dependencies of the request coordinator. Immutable.
 *
 * @param wallClockMillis time for the expiry of claims; this instance never compares it
 * @param random used only under a lock, so it need not be thread safe
 * @param otherInstances caller addresses of instances that accept requests, listed in error responses
 * @param blockedRequests requests blocked since the last pull of the control state
 * @param suspects knows the requests and prompt parts that are blocked because they crash targets
 * @param streams knows the software versions that began streams
 * @param requestIdCheck checks the request IDs echoed by targets
 * @param permits permits for targets that state a request rate
 * @param regions regions of the data centres
 * @param dialect dialect of callers; empty for the native API
 */
public record RequestServices(
        InstanceId instance,
        ControlClient control,
        TokenAdmission admission,
        Dispatcher dispatcher,
        RetryBudget retryBudget,
        TargetConnector connector,
        MonotonicClock clock,
        Scheduler scheduler,
        LongSupplier wallClockMillis,
        RandomGenerator random,
        RequestTracing tracing,
        MetricRegistry metrics,
        RequestLimits limits,
        Supplier<List<String>> otherInstances,
        BlockedRequests blockedRequests,
        SuspectGuard suspects,
        StreamVersionGuard streams,
        RequestIdCheck requestIdCheck,
        RequestPermits permits,
        RegionTable regions,
        Optional<CallerDialect> dialect) {}
