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
import org.basilrill.coordination.placement.TargetOrders;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.control.ControlStateMachine;

/**
 * What an instance is assembled from. The daemon supplies sockets, threads and disks; a test supplies virtual ones.
 * Immutable.
 *
 * @param callerAddress IP number and port for callers
 * @param peerAddress IP number and port for other instances
 * @param replicas founding replicas of the control log, which are also the first members contacted
 * @param random split among the parts, so that none shares a generator with another
 * @param wallClockMillis used for retention and as the incarnation of the instance only
 * @param firstOperatorKey key by which the first rules are installed
 * @param replica replica of the control log that this instance holds, if any
 * @param outside how this instance deals with callers, targets and operators
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
        TargetOrders orders,
        LongSupplier wallClockMillis,
        Tracer tracer,
        MetricRegistry metrics,
        RequestLimits limits,
        Optional<KeyHash> firstOperatorKey,
        Optional<LocalReplica> replica,
        OutsideOptions outside) {
    public InstanceEnvironment {
        replicas = List.copyOf(replicas);
    }

    /**
     * The replica of the control log that this instance holds.
     *
     * @param members instances that hold replicas according to the log
     * @param contacts takes the instances that say that they hold a replica
     */
    public record LocalReplica(
            ControlLog log,
            ControlStateMachine machine,
            Supplier<List<InstanceId>> members,
            Consumer<List<InstanceId>> contacts) {}
}
