package org.basilrill.protocol.instance;

import java.util.random.RandomGenerator;
import org.basilrill.coordination.control.ControlEndpoint;
import org.basilrill.coordination.control.ControlLogClient;
import org.basilrill.coordination.control.ControlLogServer;
import org.basilrill.coordination.membership.FormatLevels;
import org.basilrill.protocol.instance.InstanceEnvironment.LocalReplica;

/** Creates the client of the control log, and its server on a replica. Immutable. */
record ControlAssembly(InstanceEnvironment environment, ControlEndpoint endpoint, FormatLevels formatLevels) {
    ControlLogClient client(RandomGenerator random) {
        return new ControlLogClient(
                endpoint,
                environment.replicas(),
                environment.interfaces().rulesFormat(),
                environment.clock(),
                environment.wallClockMillis(),
                environment.scheduler(),
                random,
                environment.interfaces().rulesInForceWithin());
    }

    ControlLogServer server(LocalReplica replica, RandomGenerator random) {
        return new ControlLogServer(
                endpoint,
                replica.log(),
                replica.machine(),
                replica.members(),
                environment.clock(),
                environment.scheduler(),
                random,
                environment.wallClockMillis(),
                command -> formatLevels.permits(command, replica.members()));
    }
}
