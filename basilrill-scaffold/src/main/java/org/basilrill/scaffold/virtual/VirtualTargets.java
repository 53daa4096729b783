package org.basilrill.scaffold.virtual;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/** All simulated targets. Every instance can reach them, also when it is isolated from its peers. Not thread safe. */
public final class VirtualTargets {
    private final Map<TargetId, VirtualTarget> targets = new TreeMap<>();

    /** Adds a target. */
    public void add(VirtualTarget target) {
        targets.put(target.id(), target);
    }

    public Collection<VirtualTarget> all() {
        return targets.values();
    }

    /** Passes every execution of every target to the consumer. */
    public void executions(Consumer<VirtualTarget.Execution> consumer) {
        targets.values().forEach(target -> target.executions().forEach(consumer));
    }

    /** Returns the connector of one process; it delivers no events once the process has ended. */
    public TargetConnector connector(InstanceId instance, BooleanSupplier alive) {
        return new TargetConnector() {
            @Override
            public Call open(TargetAnnouncement target, Request request, boolean fresh, Listener listener) {
                return targets.get(target.id()).open(instance, alive, request, listener);
            }

            @Override
            public CompletableFuture<Boolean> acceptsConnection(TargetAnnouncement target) {
                return CompletableFuture.completedFuture(
                        targets.get(target.id()).isUp());
            }
        };
    }
}
