package org.basilrill.protocol.instance;

import com.codahale.metrics.MetricRegistry;
import io.opentelemetry.api.trace.Tracer;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator.SplittableGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.control.ControlLog;
import org.basilrill.coordination.placement.TargetOrderClient;
import org.basilrill.protocol.relay.TargetAccess;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.control.ControlStateMachine;

/**
 * External dependencies and settings of an instance. The daemon supplies sockets, threads and disks; a test supplies
 * simulated ones. Immutable.
 *
 * @param callerAddress IP address and port for callers
 * @param peerAddress IP address and port for other instances
 * @param replicas initial replicas of the control log, which are also the seeds of the membership
 * @param random split for each component, so that no two components share a generator
 * @param wallClockMillis used for retention, as the incarnation of the instance, and to notice a suspension
 * @param firstOperatorKey hash of the operator key that may install the first rules
 * @param replica replica of the control log that this instance hosts, if any
 * @param interfaces options of the interfaces to callers, targets and operators
 * @param relay relay of this instance and the way to those of others; without it, all exchanges use own paths
 */
public record InstanceEnvironment(
        InstanceId self,
        String dataCentre,
        String callerAddress,
        String peerAddress,
        List<InstanceId> replicas,
        MonotonicClock clock,
        Scheduler scheduler,
        SplittableGenerator random,
        PeerChannel channel,
        TargetConnector connector,
        TargetOrderClient targetOrderClient,
        LongSupplier wallClockMillis,
        Tracer tracer,
        MetricRegistry metrics,
        RequestLimits limits,
        Optional<KeyHash> firstOperatorKey,
        Optional<LocalReplica> replica,
        InterfaceOptions interfaces,
        Optional<TargetAccess.Port> relay) {
    public InstanceEnvironment {
        replicas = List.copyOf(replicas);
    }

    /**
     * The replica of the control log that this instance hosts.
     *
     * @param members instances that host replicas according to the log
     * @param replicaContacts receives the reachable instances that report a replica
     */
    public record LocalReplica(
            ControlLog log,
            ControlStateMachine machine,
            Supplier<List<InstanceId>> members,
            Consumer<List<InstanceId>> replicaContacts) {}
}
