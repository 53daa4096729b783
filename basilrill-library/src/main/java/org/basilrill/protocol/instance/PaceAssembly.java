package org.basilrill.protocol.instance;

import java.util.List;
import java.util.function.Consumer;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.membership.Membership;
import org.basilrill.coordination.membership.Membership.Member;
import org.basilrill.coordination.routing.RecoveryPaces;
import org.basilrill.coordination.routing.RoutingOptions;
import org.basilrill.protocol.observation.SeriesName;
import org.basilrill.state.target.TargetRegistry;

/** Assembles the paces of recovering targets. Stateless and thread safe. */
final class PaceAssembly {
    private PaceAssembly() {}

    /** Creates the paces, registers them with the registry and exports the pace of each target that has one. */
    static RecoveryPaces create(
            InstanceEnvironment environment,
            Membership membership,
            TargetRegistry targets,
            Consumer<TargetId> changed) {
        PaceGauges gauges = new PaceGauges(environment);
        RecoveryPaces paces = new RecoveryPaces(new RecoveryPaces.Environment(
                environment.self(),
                () -> membership.members().stream()
                        .filter(member -> !member.suspected() && !member.draining())
                        .map(Member::id)
                        .toList(),
                environment.wallClockMillis(),
                RoutingOptions.defaults().prefillTokensPerMilli(),
                changed,
                gauges,
                environment.clock(),
                environment.scheduler()));
        gauges.paces = paces;
        targets.addListener(paces);
        return paces;
    }

    /** Exports a gauge for each paced target, labelled with the reason. Thread safe. */
    private static final class PaceGauges implements RecoveryPaces.Listener {
        private final InstanceEnvironment environment;
        private volatile RecoveryPaces paces;

        PaceGauges(InstanceEnvironment environment) {
            this.environment = environment;
        }

        @Override
        public void began(TargetId target, String reason) {
            environment.metrics().gauge(nameOf(target, reason), () -> () -> paces.pace(target));
        }

        @Override
        public void ended(TargetId target, String reason) {
            environment.metrics().remove(nameOf(target, reason));
        }

        private static String nameOf(TargetId target, String reason) {
            return new SeriesName(
                            "target_pace",
                            List.of(
                                    new SeriesName.Label("target", target.value()),
                                    new SeriesName.Label("reason", reason)))
                    .toString();
        }
    }
}
