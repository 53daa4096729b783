package org.basilrill.coordination.routing;

import java.time.Duration;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * The services whose targets state that they fail if they have to refuse more than a few requests in a second. Not
 * thread safe; guarded by the lock of {@link TargetRestrictions}.
 *
 * <p>While a service is fragile, the requests that wait for its targets wait at the instances: each instance uses its
 * share of the slots of each target. An instance that is refused all the same sends that target nothing for so long
 * that all instances together cause at most the stated number of refusals in a second.
 */
final class FragileServices {
    /** Instances and targets join and leave seldom. */
    private static final Duration SHARE_VALIDITY = Duration.ofMillis(500);

    private final InstanceId self;
    private final Supplier<List<InstanceId>> instances;
    private final TargetDirectory directory;
    private final Predicate<TargetAnnouncement> evacuated;
    private final MonotonicClock clock;
    private final Map<Optional<String>, FragileService> services = new HashMap<>();

    /**
     * Creates the services; none is fragile.
     *
     * @param instances all known instances, this one included, in any order
     * @param evacuated returns whether a target is in an evacuated data centre, so that its slots serve no instance
     */
    FragileServices(
            InstanceId self,
            Supplier<List<InstanceId>> instances,
            TargetDirectory directory,
            Predicate<TargetAnnouncement> evacuated,
            MonotonicClock clock) {
        this.self = self;
        this.instances = instances;
        this.directory = directory;
        this.evacuated = evacuated;
        this.clock = clock;
    }

    /** Records what a target states; returns whether the service has become fragile, or no longer is. */
    boolean observe(TargetAnnouncement target, Optional<Integer> refusalLimit) {
        FragileService known = services.get(target.service());
        if (refusalLimit.isEmpty()) {
            return services.remove(target.service()) != null;
        }
        if (known == null) {
            services.put(target.service(), new FragileService(refusalLimit.get()));
            return true;
        }
        known.refusalLimit = refusalLimit.get();
        return false;
    }

    /** Returns how many requests this instance may have at the target at once; empty if it may use any slot. */
    Optional<Integer> slotLimit(TargetAnnouncement target) {
        return Optional.ofNullable(services.get(target.service()))
                .map(service -> sharesOf(target.service(), service).getOrDefault(target.id(), 1));
    }

    /** Returns how long this instance sends nothing to a fragile target that has refused a request for want of room. */
    Duration pauseAfterRefusal(TargetAnnouncement target) {
        int limit = Math.max(1, services.get(target.service()).refusalLimit);
        return Duration.ofSeconds(1).multipliedBy((instances.get().size() + limit - 1) / limit);
    }

    private Map<TargetId, Integer> sharesOf(Optional<String> serviceName, FragileService service) {
        long now = clock.nanos();
        if (service.shares.isEmpty() || now - service.computedNanos >= SHARE_VALIDITY.toNanos()) {
            List<TargetAnnouncement> targets = directory.targets().stream()
                    .filter(target -> target.service().equals(serviceName) && !target.leaving())
                    .filter(target -> !evacuated.test(target))
                    .sorted(Comparator.comparing(TargetAnnouncement::id))
                    .toList();
            service.shares =
                    SlotShares.of(targets, instances.get().stream().sorted().toList(), self);
            service.computedNanos = now;
        }
        return service.shares;
    }

    /** What the targets of one service have stated. */
    private static final class FragileService {
        private int refusalLimit;
        private Map<TargetId, Integer> shares = Map.of();
        private long computedNanos;

        FragileService(int refusalLimit) {
            this.refusalLimit = refusalLimit;
        }
    }
}
