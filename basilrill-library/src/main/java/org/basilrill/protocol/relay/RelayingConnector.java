package org.basilrill.protocol.relay;

import java.util.concurrent.CompletableFuture;
import org.basilrill.coordination.path.TargetPaths;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Sends requests over this instance's own path, or by way of another instance if that path is lost or a connection
 * cannot be opened. A target counts as unreachable only if the other instances do not reach it either. Thread safe.
 */
final class RelayingConnector implements TargetConnector {
    private final TargetConnector direct;
    private final TargetPaths paths;
    private final Relays relays;

    RelayingConnector(TargetConnector direct, TargetPaths paths, Relays relays) {
        this.direct = direct;
        this.paths = paths;
        this.relays = relays;
    }

    @Override
    public Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
        RelayableExchange exchange = new RelayableExchange(relays, target, request, freshConnection, listener);
        if (!paths.isLost(target.id()) || !exchange.openAtRelay()) {
            exchange.openDirectly(direct);
        }
        return exchange;
    }

    @Override
    public CompletableFuture<Boolean> acceptsConnection(TargetAnnouncement target) {
        if (paths.isLost(target.id())) {
            return reachedByOthers(target);
        }
        return direct.acceptsConnection(target)
                .thenCompose(accepted -> accepted ? CompletableFuture.completedFuture(true) : reachedByOthers(target));
    }

    /**
     * Returns whether another instance reaches the target. If none can tell and this instance has lost its paths to
     * most targets, the target counts as reachable: a cut of all instances must not look like a crash of all targets.
     */
    private CompletableFuture<Boolean> reachedByOthers(TargetAnnouncement target) {
        return relays.reach(target).thenApply(reached -> reached.orElseGet(paths::isCutOff));
    }
}
