package org.basilrill.coordination.admission;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.admission.Dispatcher.Destination;
import org.basilrill.coordination.limit.RequestPermits;
import org.basilrill.coordination.limit.RequestPermits.QueuedDemand;
import org.basilrill.coordination.limit.TargetKey;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Reports the permits that the queued requests need: those of a destination are divided equally among its targets that
 * state a request rate. Guarded by the lock of the dispatcher.
 */
final class PermitDemandReporter {
    /** Collects the changes of the queues that one burst of requests causes. */
    private static final Duration UPDATE_DELAY = Duration.ofMillis(2);

    private final TargetDirectory directory;
    private final RequestPermits permits;
    private final FairQueues queues;
    private final Scheduler scheduler;
    private final Object lock;
    private boolean updateScheduled;

    /**
     * Creates the reporter of one dispatcher.
     *
     * @param lock lock of the dispatcher, which guards the queues
     */
    PermitDemandReporter(
            TargetDirectory directory, RequestPermits permits, FairQueues queues, Scheduler scheduler, Object lock) {
        this.directory = directory;
        this.permits = permits;
        this.queues = queues;
        this.scheduler = scheduler;
        this.lock = lock;
    }

    /** Updates the demand soon, at most once for all changes of the queues until then. */
    void scheduleUpdate() {
        if (!permits.hasLimits() || updateScheduled) {
            return;
        }
        updateScheduled = true;
        scheduler.schedule(UPDATE_DELAY, () -> {
            synchronized (lock) {
                updateScheduled = false;
                update(queues.demand());
            }
        });
    }

    private void update(Map<Destination, QueuedDemand> queued) {
        Map<TargetKey, QueuedDemand> byTarget = new HashMap<>();
        queued.forEach((destination, demand) -> {
            List<TargetAnnouncement> limited = limitedTargets(destination.readyTargets(directory));
            for (TargetAnnouncement target : limited) {
                int share = (demand.requests() + limited.size() - 1) / limited.size();
                byTarget.merge(TargetKey.of(target), new QueuedDemand(share, demand.priority()), QueuedDemand::plus);
            }
        });
        permits.updateDemand(byTarget);
    }

    private List<TargetAnnouncement> limitedTargets(Collection<TargetAnnouncement> targets) {
        return targets.stream()
                .filter(target -> !target.leaving() && permits.rateOf(target).isPresent())
                .toList();
    }
}
