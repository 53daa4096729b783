package org.basilrill.protocol.instance;

import java.util.function.Consumer;
import java.util.random.RandomGenerator.SplittableGenerator;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.control.ControlLogClient;
import org.basilrill.coordination.limit.LimitMessenger;
import org.basilrill.coordination.limit.PermitIssuer;
import org.basilrill.coordination.limit.TargetPermits;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.Membership.Member;

/** Assembles the permits for targets that state a request rate. Immutable and thread safe. */
record PermitAssembly(
        InstanceEnvironment environment, ControlLogClient control, LimitMessenger messenger, Membership membership) {
    /** Returns the permits of this instance. */
    TargetPermits permits(Consumer<TargetId> changed, SplittableGenerator random) {
        return new TargetPermits(
                new TargetPermits.Environment(
                        control::leader, messenger, changed, environment.clock(), environment.scheduler()),
                random);
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
