package org.basilrill.scaffold.virtual;

import java.util.Collection;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.basilrill.api.InstanceId;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.instance.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/** All targets, reachable from every instance, cut off ones included. Not thread safe. */
public final class VirtualTargets {
    private final Map<TargetId, VirtualTarget> targets = new TreeMap<>();

    /** Adds a target. */
    public void add(VirtualTarget target) {
        targets.put(target.id(), target);
    }

    public Collection<VirtualTarget> all() {
        return targets.values();
    }

    /** Calls the consumer with every execution at every target. */
    public void executions(Consumer<VirtualTarget.Execution> consumer) {
        targets.values().forEach(target -> target.executions().forEach(consumer));
    }

    /** Returns the connector of one process, which hears nothing once it is not alive. */
    public TargetConnector connector(InstanceId instance, BooleanSupplier alive) {
        return new TargetConnector() {
            @Override
            public Call open(TargetAnnouncement target, Request request, boolean fresh, Listener listener) {
                return targets.get(target.id()).open(instance, alive, request, listener);
            }

            @Override
            public CompletableFuture<Boolean> accepts(TargetAnnouncement target) {
                return CompletableFuture.completedFuture(
                        targets.get(target.id()).isUp());
            }
        };
    }
}
