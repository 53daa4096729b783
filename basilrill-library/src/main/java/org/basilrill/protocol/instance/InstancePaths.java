package org.basilrill.protocol.instance;

import java.util.Optional;
import java.util.random.RandomGenerator.SplittableGenerator;
import org.basilrill.coordination.membership.GossipMembership;
import org.basilrill.coordination.membership.RelayAccess;
import org.basilrill.coordination.path.CutLeaderHandover;
import org.basilrill.protocol.relay.TargetAccess;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetDirectory;

/**
 * The paths of one instance to the targets, with its relay if the environment has one. Without a relay, all exchanges
 * use own paths. Thread safe.
 */
final class InstancePaths {
    private final InstanceEnvironment environment;
    private final Optional<TargetAccess> access;

    /**
     * Assembles the paths; they are checked from {@link #start} on.
     *
     * @param cutListener called when the instance has lost all its paths
     */
    InstancePaths(
            InstanceEnvironment environment,
            GossipMembership membership,
            TargetDirectory targets,
            Runnable cutListener,
            SplittableGenerator random) {
        this.environment = environment;
        this.access = environment
                .relay()
                .map(port -> new TargetAccess(new TargetAccess.Environment(
                        environment.self(),
                        environment.dataCentre(),
                        membership,
                        targets,
                        environment.connector(),
                        port,
                        cutListener,
                        environment.clock(),
                        environment.scheduler(),
                        random)));
        access.ifPresent(this::registerGauges);
        access.ifPresent(present -> handLeadershipOverWhenCut(present, membership));
    }

    void start() {
        access.ifPresent(TargetAccess::start);
    }

    void stop() {
        access.ifPresent(TargetAccess::stop);
    }

    /** Returns how this instance reaches targets by way of others, if it does. */
    Optional<TargetAccess> access() {
        return access;
    }

    /** Returns the connector for the requests of callers. */
    TargetConnector connector() {
        return access.map(TargetAccess::connector).orElseGet(environment::connector);
    }

    /** Returns how others reach the relay of this instance, if it has one. */
    Optional<RelayAccess> relay() {
        return environment.relay().map(TargetAccess.Port::access);
    }

    /** Returns whether this instance has lost its own paths to most targets. */
    boolean isCutOff() {
        return access.filter(TargetAccess::isCutOff).isPresent();
    }

    /** Returns the number of exchanges that this instance carries for others. */
    int exchangesForOthers() {
        return access.map(present -> present.service().exchanges()).orElse(0);
    }

    private void registerGauges(TargetAccess present) {
        environment.metrics().registerGauge("target_paths.lost", present::lostPaths);
        environment
                .metrics()
                .registerGauge("relay.exchanges", () -> present.service().exchanges());
    }

    private void handLeadershipOverWhenCut(TargetAccess present, GossipMembership membership) {
        environment
                .replica()
                .map(local -> new CutLeaderHandover(
                        environment.self(), local.log(), membership, present::isCutOff, environment.clock()))
                .ifPresent(handover -> membership.onPeriod(handover::check));
    }
}
