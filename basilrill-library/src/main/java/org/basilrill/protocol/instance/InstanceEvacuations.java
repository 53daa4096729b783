package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.random.RandomGenerator;
import org.basilrill.coordination.admission.FairDispatcher;
import org.basilrill.coordination.control.ControlLogClient;
import org.basilrill.coordination.evacuation.EvacuationEndListener;
import org.basilrill.coordination.evacuation.EvacuationWatch;
import org.basilrill.coordination.evacuation.KnownDataCentres;
import org.basilrill.coordination.membership.GossipMembership;
import org.basilrill.coordination.routing.TargetRestrictions;
import org.basilrill.protocol.administration.EvacuationCalls;
import org.basilrill.state.target.TargetDirectory;

/** Assembles the evacuations of data centres as far as they concern one instance. Stateless. */
final class InstanceEvacuations {
    private static final Duration CALL_DEADLINE = Duration.ofSeconds(5);

    private InstanceEvacuations() {}

    /** Puts evacuations in force from the first view of the control log on; returns the calls of operators. */
    static EvacuationCalls enforce(
            InstanceEnvironment environment,
            ControlLogClient control,
            GossipMembership membership,
            TargetDirectory targets,
            TargetRestrictions restrictions,
            FairDispatcher dispatcher,
            EvacuationEndListener endListener,
            RandomGenerator random) {
        KnownDataCentres dataCentres = new KnownDataCentres(
                environment.interfaces().regions().regions().keySet(), membership, targets, environment.clock());
        membership.onPeriod(dataCentres::observe);
        control.onView(new EvacuationWatch(restrictions::updateEvacuated, endListener, dispatcher::recheck));
        environment
                .metrics()
                .registerGauge(
                        "evacuations.data_centres",
                        () -> control.view().evacuatedDataCentres().size());
        environment.metrics().registerGauge("evacuations.requests_refused", dispatcher::refusedByEvacuation);
        return new EvacuationCalls(control, () -> control.readRules(CALL_DEADLINE), dataCentres, random, CALL_DEADLINE);
    }
}
