package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.coordination.control.ControlLogClient;
import org.basilrill.coordination.engine.EngineController;
import org.basilrill.coordination.engine.RestrictedEngineClient;
import org.basilrill.coordination.evacuation.PlacementTargets;
import org.basilrill.coordination.limit.ChargingEngineClient;
import org.basilrill.coordination.limit.ChargingTargetOrderClient;
import org.basilrill.coordination.limit.PermitIssuer;
import org.basilrill.coordination.membership.TargetPublisher;
import org.basilrill.coordination.placement.DemandAggregator;
import org.basilrill.coordination.placement.PlacementController;
import org.basilrill.coordination.placement.PlacementEnvironment;
import org.basilrill.coordination.placement.PlacementMessenger;
import org.basilrill.coordination.placement.PlacementSettings;
import org.basilrill.coordination.routing.TargetRestrictions;
import org.basilrill.protocol.instance.InstanceEnvironment.LocalReplica;
import org.basilrill.protocol.instance.InterfaceOptions.EngineAccess;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetRegistry;

/** Creates the component that controls the contents of targets on a replica of the control log. Immutable. */
record PlacementAssembly(
        InstanceEnvironment environment,
        ControlLogClient control,
        TargetRegistry targets,
        TargetPublisher targetPublisher,
        PlacementMessenger messenger,
        Optional<PermitIssuer> permitIssuer,
        TargetRestrictions restrictions) {
    /** Horizon of the demand by which models are loaded on engines. It is short because a load takes only seconds. */
    private static final Duration ENGINE_DEMAND_HORIZON = Duration.ofSeconds(4);
    /** Horizon of the demand by which models stay resident in engines. It is longer because recent demand may recur. */
    private static final Duration ENGINE_RETENTION_HORIZON = Duration.ofSeconds(10);

    /** Creates the controller of targets whose orders are committed to the control log. */
    PlacementController placement(LocalReplica replica) {
        PlacementEnvironment placementEnvironment = new PlacementEnvironment(
                environment.self(),
                replica.log()::isLeader,
                replica.machine(),
                control,
                placementTargets(replica),
                new ChargingTargetOrderClient(environment.targetOrderClient(), this::charge),
                environment.clock(),
                environment.scheduler(),
                environment.random().split());
        return new PlacementController(
                placementEnvironment,
                PlacementSettings.defaults(),
                new DemandAggregator(environment.clock()),
                messenger);
    }

    /** Creates the controller of engines that check the precondition of an order. */
    EngineController engineControl(EngineAccess access, LocalReplica replica) {
        DemandAggregator demandAggregator = DemandAggregator.withWarmUpCorrection(
                environment.clock(), ENGINE_DEMAND_HORIZON, ENGINE_RETENTION_HORIZON);
        EngineController controller = new EngineController(
                new EngineController.Environment(
                        replica.log()::isLeader,
                        replica.log()::term,
                        () -> replica.machine().view().rules(),
                        placementTargets(replica),
                        new RestrictedEngineClient(
                                new ChargingEngineClient(access.engineClient(), this::charge), restrictions),
                        targetPublisher::contentChanged,
                        messenger::sendReadiness,
                        this::isOverLimit,
                        access.lease(),
                        environment.clock(),
                        environment.scheduler()),
                demandAggregator);
        messenger.onDemand((sender, report) -> {
            if (demandAggregator.received(sender, report)) {
                controller.requestDecision();
            }
        });
        return controller;
    }

    /** Uses the view of the local replica, which is the newest while that replica leads. */
    private PlacementTargets placementTargets(LocalReplica replica) {
        return new PlacementTargets(
                targets, () -> replica.machine().view().evacuatedDataCentres().keySet());
    }

    private void charge(TargetAnnouncement target) {
        permitIssuer.ifPresent(issuer -> issuer.charge(target));
    }

    private boolean isOverLimit(TargetAnnouncement target) {
        return permitIssuer.filter(issuer -> issuer.isOverLimit(target)).isPresent();
    }
}
