package org.basilrill.protocol.relay;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Predicate;
import java.util.random.RandomGenerator.SplittableGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.RelayAccess;
import org.basilrill.coordination.path.RelaySelector;
import org.basilrill.coordination.path.RestartEvidence;
import org.basilrill.coordination.path.TargetPaths;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * How an instance reaches the targets: by its own paths, and by way of other instances where its own paths are lost.
 * Thread safe.
 */
public final class TargetAccess {
    private final TargetPaths paths;
    private final RelaySelector selector;
    private final TargetConnector connector;
    private final RelayService service;

    /** Assembles the access; it checks no paths until {@link #start}. */
    public TargetAccess(Environment environment) {
        DirectExchangeRegistry registry = new DirectExchangeRegistry(environment.connector());
        selector = new RelaySelector(
                environment.self(),
                environment.dataCentre(),
                environment.membership(),
                environment.clock(),
                environment.random().split());
        Relays relays = new Relays(
                selector,
                environment.port().client(),
                environment.self(),
                environment.responseObserver(),
                environment.evacuated(),
                environment.coldTargets());
        paths = new TargetPaths(new TargetPaths.Environment(
                environment.targets()::targets,
                environment.connector()::acceptsConnection,
                target -> relays.reach(target).thenApply(reached -> reached.orElse(false)),
                registry,
                environment.cutListener(),
                environment.restartEvidence(),
                environment.clock(),
                environment.scheduler(),
                environment.random().split()));
        DirectConnector direct = new DirectConnector(environment.connector(), paths, registry, environment.clock());
        connector = new RelayingConnector(direct, paths, relays);
        service = new RelayService(
                environment.port().access().token(), environment.targets(), direct, paths, environment.coldTargets());
    }

    /**
     * The relay of this instance and the way to those of others.
     *
     * @param access how others reach the relay of this instance
     */
    public record Port(RelayAccess access, RelayClient client) {}

    /**
     * The dependencies of the access.
     *
     * @param connector sends requests over this instance's own paths
     * @param cutListener called when the instance has lost all its paths
     * @param restartEvidence receives what the exchanges over own paths show of restarts of targets
     * @param responseObserver receives the head of each response that another instance passes on
     * @param evacuated returns whether a target is in an evacuated data centre
     * @param coldTargets whether a target is cold, so that each request to it needs a permit
     * @param random split for each part, so that no two share a generator
     */
    public record Environment(
            InstanceId self,
            String dataCentre,
            Membership membership,
            TargetDirectory targets,
            TargetConnector connector,
            Port port,
            Runnable cutListener,
            RestartEvidence restartEvidence,
            BiConsumer<TargetAnnouncement, ResponseHead> responseObserver,
            Predicate<TargetAnnouncement> evacuated,
            Predicate<TargetAnnouncement> coldTargets,
            MonotonicClock clock,
            Scheduler scheduler,
            SplittableGenerator random) {}

    /** Starts the checks of the paths. */
    public void start() {
        paths.start();
    }

    /** Stops the checks of the paths. */
    public void stop() {
        paths.stop();
    }

    /** Returns the connector for the requests of callers. */
    public TargetConnector connector() {
        return connector;
    }

    /** Returns the relay that carries exchanges for other instances. */
    public RelayService service() {
        return service;
    }

    /** Returns whether this instance has lost its own paths to most targets. */
    public boolean isCutOff() {
        return paths.isCutOff();
    }

    /** Returns the number of targets to which this instance has lost its own path. */
    public int lostPaths() {
        return paths.lostPaths();
    }

    /** Returns how many exchanges each other instance carries for this one. */
    public Map<InstanceId, Integer> carriedByInstance() {
        return selector.carriedByInstance();
    }
}
