package org.basilrill.protocol.instance;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.random.RandomGenerator.SplittableGenerator;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.control.ControlLogClient;
import org.basilrill.coordination.limit.ColdTargets;
import org.basilrill.coordination.limit.LimitMessenger;
import org.basilrill.coordination.limit.PermitIssuer;
import org.basilrill.coordination.limit.TargetPermits;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.protocol.peer.ThriftLimitCodec;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.target.TargetRegistry;

/** Assembles the permits for targets that state a request rate or are cold. Thread safe. */
final class PermitAssembly {
    private final InstanceEnvironment environment;
    private final Membership membership;
    private final Consumer<TargetId> changed;
    private final LimitMessenger messenger;
    private final TargetPermits permits;
    private final ColdTargets coldTargets;

    /**
     * Assembles the permits, and registers the cold targets with the registry.
     *
     * @param changed called when requests may be sent to a target that had no permit
     */
    PermitAssembly(
            InstanceEnvironment environment,
            ControlLogClient control,
            Membership membership,
            TargetRegistry targets,
            Consumer<TargetId> changed,
            SplittableGenerator random) {
        this.environment = environment;
        this.membership = membership;
        this.changed = changed;
        messenger = new LimitMessenger(
                environment.self(), environment.channel(), new ThriftLimitCodec(), environment.scheduler());
        permits = new TargetPermits(
                new TargetPermits.Environment(
                        control::leader, messenger, changed, environment.clock(), environment.scheduler()),
                random);
        coldTargets = new ColdTargets(
                environment.interfaces().coldLimits(),
                service -> Optional.ofNullable(control.view().rules().services().get(service))
                        .flatMap(Rules.Service::coldStart),
                targets,
                permits,
                environment.clock());
        targets.addListener(coldTargets);
        environment.metrics().registerGauge("targets.cold", coldTargets::coldTargets);
        environment.metrics().registerGauge("targets.cold_statements_malformed", coldTargets::malformedStatements);
        environment.metrics().registerGauge("permits.awaited", permits::awaitedPermits);
    }

    /** Returns what is to be called when requests may be sent to a target again. */
    Consumer<TargetId> changed() {
        return changed;
    }

    LimitMessenger messenger() {
        return messenger;
    }

    /** Returns the permits of this instance. */
    TargetPermits permits() {
        return permits;
    }

    /** Returns which targets are cold. */
    ColdTargets coldTargets() {
        return coldTargets;
    }

    /** Returns the issuer, which is active while the replica leads the control log. */
    PermitIssuer issuer(InstanceEnvironment.LocalReplica replica) {
        return new PermitIssuer(new PermitIssuer.Environment(
                replica.log()::isLeader,
                replica.log()::term,
                () -> membership.members().stream().map(Member::id).toList(),
                messenger,
                environment.clock(),
                environment.scheduler()));
    }
}
