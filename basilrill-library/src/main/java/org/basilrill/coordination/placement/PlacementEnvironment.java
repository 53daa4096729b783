package org.basilrill.coordination.placement;

import java.util.function.BooleanSupplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.state.target.TargetDirectory;

/**
 * Dependencies of a placement controller. Immutable and thread safe.
 *
 * @param leads whether the replica of this instance leads the control log
 * @param state control state of the replica at this instance
 * @param orderClient client that sends an order only to the incarnation of the target in the announcement
 */
public record PlacementEnvironment(
        InstanceId self,
        BooleanSupplier leads,
        ControlStateMachine state,
        ControlClient client,
        TargetDirectory directory,
        TargetOrderClient orderClient,
        MonotonicClock clock,
        Scheduler scheduler,
        RandomGenerator random) {}
