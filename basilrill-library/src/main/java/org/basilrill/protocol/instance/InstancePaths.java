package org.basilrill.protocol.instance;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator.SplittableGenerator;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.membership.GossipMembership;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.RelayAccess;
import org.basilrill.coordination.membership.RestartNews;
import org.basilrill.coordination.path.CutLeaderHandover;
import org.basilrill.coordination.routing.TargetRestrictions;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.relay.TargetAccess;
import org.basilrill.protocol.target.NativeTargetNotices;
import org.basilrill.protocol.target.RestrictedConnector;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetNotices;
import org.basilrill.state.target.TargetRegistry;

/**
 * How one instance reaches the targets: over its own paths and, if the environment has a relay, by way of others. Also
 * keeps what targets state about themselves, which binds all requests that leave this instance. Thread safe.
 */
final class InstancePaths {
    private final InstanceEnvironment environment;
    private final TargetRestrictions restrictions;
    private final PermitAssembly permits;
    private final TargetConnector direct;
    private final Optional<TargetAccess> access;

    /**
     * Assembles the paths; they are checked from {@link #start} on.
     *
     * @param cutListener called when the instance has lost all its paths
     */
    InstancePaths(
            InstanceEnvironment environment,
            GossipMembership membership,
            TargetRegistry targets,
            PermitAssembly permits,
            Runnable cutListener,
            SplittableGenerator random) {
        this.environment = environment;
        this.permits = permits;
        this.restrictions =
                new TargetRestrictions(environment.self(), () -> idsOf(membership), targets, environment.clock());
        if (environment.interfaces().recoveryPacing()) {
            restrictions.usePaces(PaceAssembly.create(environment, membership, targets, permits.changed()));
        }
        this.direct = new RestrictedConnector(
                environment.connector(), restrictions, permits.coldTargets(), environment.clock(), this::observe);
        RestartNews restartNews = new RestartNews(membership, targets, environment.clock());
        this.access = environment
                .relay()
                .map(port -> new TargetAccess(new TargetAccess.Environment(
                        environment.self(),
                        environment.dataCentre(),
                        membership,
                        targets,
                        direct,
                        port,
                        cutListener,
                        restartNews,
                        this::observe,
                        restrictions::isEvacuated,
                        permits.coldTargets()::isCold,
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

    /** Returns what targets have stated in their responses. */
    TargetRestrictions restrictions() {
        return restrictions;
    }

    /** Records what a target states in a response that did not come through {@link #connector}. */
    void observe(TargetAnnouncement target, ResponseHead response) {
        TargetNotices notices = noticesOf(response);
        restrictions.observe(target, notices);
        permits.coldTargets().observe(target, notices);
    }

    /** Returns the connector for the requests of callers. */
    TargetConnector connector() {
        return access.map(TargetAccess::connector).orElse(direct);
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

    private TargetNotices noticesOf(ResponseHead response) {
        return environment
                .interfaces()
                .dialect()
                .map(dialect -> dialect.targetNotices(response))
                .orElseGet(() -> NativeTargetNotices.read(response));
    }

    private static List<InstanceId> idsOf(Membership membership) {
        return membership.members().stream().map(Membership.Member::id).toList();
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
