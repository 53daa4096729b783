package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.Collection;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.basilrill.api.InstanceId;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * All simulated targets. Every instance can reach them, also when it is isolated from its peers, unless its paths are
 * cut. Not thread safe.
 */
public final class VirtualTargets {
    private final Map<TargetId, VirtualTarget> targets = new TreeMap<>();
    private final VirtualPaths paths = new VirtualPaths();

    /** Adds a target. */
    public void add(VirtualTarget target) {
        targets.put(target.id(), target);
    }

    public Collection<VirtualTarget> all() {
        return targets.values();
    }

    /** Passes every execution of every target to the consumer. */
    public void executions(Consumer<TargetExecution> consumer) {
        targets.values().forEach(target -> target.executions().forEach(consumer));
    }

    /** Returns the paths between instances and targets. */
    public VirtualPaths paths() {
        return paths;
    }

    /** Cuts the paths of an instance to the targets that match. */
    public void cut(InstanceId instance, VirtualPaths.Mode mode, Predicate<TargetId> cutTargets) {
        paths.cut(instance, mode, cutTargets);
        if (mode == VirtualPaths.Mode.RESET) {
            targets.values().stream()
                    .filter(target -> cutTargets.test(target.id()))
                    .forEach(target -> target.resetConnections(instance));
        }
    }

    /** Returns the connector of one process; it delivers no events once the process has ended. */
    public TargetConnector connector(InstanceId instance, BooleanSupplier alive, Scheduler scheduler) {
        return new TargetConnector() {
            @Override
            public Call open(TargetAnnouncement target, Request request, boolean fresh, Listener listener) {
                return targets.get(target.id()).open(instance, alive, request, fresh, paths, listener);
            }

            @Override
            public CompletableFuture<Boolean> acceptsConnection(TargetAnnouncement target) {
                CompletableFuture<Boolean> accepted = new CompletableFuture<>();
                Optional<VirtualPaths.Mode> cut = paths.cutOf(instance, target.id());
                boolean up = targets.get(target.id()).isUp();
                Duration wait = cut.filter(mode -> mode != VirtualPaths.Mode.REFUSE)
                        .map(mode -> VirtualPaths.CONNECT_TIMEOUT)
                        .orElse(Duration.ZERO);
                scheduler.schedule(wait, () -> accepted.complete(up && cut.isEmpty()));
                return accepted;
            }
        };
    }
}
