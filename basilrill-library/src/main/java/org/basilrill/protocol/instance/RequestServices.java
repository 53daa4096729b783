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
import org.basilrill.protocol.dialect.CallerDialect;
import org.basilrill.state.control.ControlClient;

/**
 * What the coordinator works with. Immutable.
 *
 * @param wallClockMillis time for the expiry of claims and crash reports; never compared by this instance
 * @param random used under a lock, so it need not be thread safe
 * @param otherInstances caller addresses of instances that take requests, for refusals
 * @param blockedRequests requests blocked since the last pull of the control state
 * @param requestIdEchoes which targets send the id of a request back
 * @param dialect how callers speak, if not in the product's own interface
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
        RequestIdEchoes requestIdEchoes,
        Optional<CallerDialect> dialect) {}
