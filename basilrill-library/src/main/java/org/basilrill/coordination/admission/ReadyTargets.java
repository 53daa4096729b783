package org.basilrill.coordination.admission;

import java.util.Collection;
import java.util.Comparator;
import java.util.Set;
import java.util.stream.Collectors;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.routing.TargetRouter;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/** The targets that requests may be sent to now. Stateless and thread safe. */
final class ReadyTargets {
    private final TargetDirectory directory;
    private final TargetRouter router;

    ReadyTargets(TargetDirectory directory, TargetRouter router) {
        this.directory = directory;
        this.router = router;
    }

    /** Returns the ready targets of a destination that are in no evacuated data centre. */
    Collection<TargetAnnouncement> of(Destination destination) {
        return router.restrictions().withoutEvacuated(destination.readyTargets(directory));
    }

    boolean hasOther(Destination destination, Set<TargetId> targets) {
        return of(destination).stream().anyMatch(target -> !targets.contains(target.id()));
    }

    /** Returns all ready targets except the one with the fewest requests of those that are not excluded. */
    Set<TargetId> allButLeastLoaded(Destination destination, Set<TargetId> excluded) {
        return of(destination).stream()
                .sorted(Comparator.<TargetAnnouncement, Boolean>comparing(target -> excluded.contains(target.id()))
                        .thenComparingInt(this::requestsAt))
                .skip(1)
                .map(TargetAnnouncement::id)
                .collect(Collectors.toUnmodifiableSet());
    }

    /** Returns the requests of this instance at the target, or all requests there if it announces more. */
    private int requestsAt(TargetAnnouncement target) {
        int announced = target.load().running() + target.load().waiting();
        return Math.max(router.slotsInUse(target), announced);
    }
}
