package org.basilrill.coordination.membership;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.membership.Fact.TargetContentFact;
import org.basilrill.coordination.membership.Fact.TargetFact;
import org.basilrill.coordination.membership.Fact.TargetGoneFact;
import org.basilrill.coordination.membership.Fact.TargetLoadFact;
import org.basilrill.state.target.AnnouncementReceiver;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetAnnouncement.Load;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;
import org.basilrill.state.target.TargetRegistry;

/**
 * Publishes the targets announced to this instance, and registers those announced to others. An announcement that only
 * renews the time to live is not published: other instances renew the target as long as this instance is not suspected.
 * A target is removed everywhere once its time to live has passed here, or once this instance is suspected. A target
 * may announce itself to another instance each time; then an announcement without a change is published only when the
 * last published one is half as old as it is valid, and without urgency unless the exchange is slow. Thread safe: one
 * lock guards the announcements to this instance and the published ones of others.
 */
public final class TargetPublisher implements AnnouncementReceiver {
    /** A load report is published when it differs from the last published one by this share of the slots. */
    private static final double LOAD_CHANGE_SHARE = 0.1;
    /** Load of a target in the registry of others while no load of it is published. */
    private static final Load NO_LOAD = new Load(0, 0);
    /**
     * Share of the validity after which an unchanged announcement is published again by another instance. Other
     * instances renew a target for its full validity beyond the last renewal, so the rest covers two lost
     * announcements and the periodic exchange.
     */
    private static final int REPUBLICATION_DIVISOR = 2;

    /** The ends of one cold state that announcements give differ by their delays, which are shorter than this. */
    private static final long COLD_CHANGE_MILLIS = 500;

    private final GossipMembership membership;
    private final TargetRegistry registry;
    private final MonotonicClock clock;
    private final Map<TargetId, LocalTarget> localTargets = new HashMap<>();
    private final Map<TargetId, ForeignTarget> foreignTargets = new HashMap<>();
    /** Loads that this instance has published and that others still have, whether or not the target is local. */
    private final Map<TargetId, Load> publishedLoads = new HashMap<>();

    /** Creates the publisher of one instance and registers it with the membership. */
    public TargetPublisher(GossipMembership membership, TargetRegistry registry, MonotonicClock clock) {
        this.membership = membership;
        this.registry = registry;
        this.clock = clock;
        membership.onFact(this::factReceived);
        membership.onPeriod(this::periodPassed);
    }

    @Override
    public void receiveAnnouncement(TargetAnnouncement announcement) {
        Optional<ForeignTarget> foreign = foreign(announcement.id());
        if (foreign.filter(known -> isRenewal(known, announcement)).isPresent()) {
            // Registered with the published sequence, so that the facts of the other instance continue to renew it.
            registry.renew(foreign.get().announcement().withLoad(announcement.load()));
            return;
        }
        if (!registry.announce(announcement)) {
            return;
        }
        Optional<LocalTarget> previousLocal;
        boolean publishLoad;
        long now = clock.nanos();
        synchronized (localTargets) {
            publishLoad = isLoadChanged(publishedLoads.getOrDefault(announcement.id(), NO_LOAD), announcement);
            if (publishLoad) {
                publishedLoads.put(announcement.id(), announcement.load());
            }
            previousLocal =
                    Optional.ofNullable(localTargets.put(announcement.id(), new LocalTarget(announcement, now)));
            foreignTargets.remove(announcement.id());
        }
        Optional<TargetAnnouncement> previous = previousLocal.map(LocalTarget::announcement);
        boolean known = previous.or(() -> foreign.map(ForeignTarget::announcement))
                .filter(last -> equalsIgnoringLoadAndSequence(withoutAdapters(last), withoutAdapters(announcement)))
                .isPresent();
        boolean coldForLonger = previousLocal
                .map(last -> last.isColdForLonger(announcement, now))
                .orElse(announcement.coldRemainingMillis() > 0);
        boolean wasCold =
                previous.filter(last -> last.coldRemainingMillis() > 0).isPresent();
        // A former home withdraws a target after its validity, and others keep it for as long again.
        boolean spreadsTooSlowly =
                previous.isEmpty() && membership.spreadingTime().toMillis() > announcement.timeToLiveMillis();
        if (!known || coldForLonger || spreadsTooSlowly) {
            membership.publishUrgently(new TargetFact(announcement));
        } else if (wasCold
                || previous.filter(last -> equalsIgnoringLoadAndSequence(last, announcement))
                        .isEmpty()) {
            // The instance that ordered an adapter change has already published it. The fact of a cold target is
            // replaced with each announcement, because it states the time that remained when it was published.
            membership.publish(new TargetFact(announcement));
        }
        if (publishLoad) {
            membership.publish(new TargetLoadFact(announcement.id(), announcement.load()));
        }
    }

    /** Returns what another instance has published about the target, if that instance can be relied on to keep it. */
    private Optional<ForeignTarget> foreign(TargetId target) {
        Optional<ForeignTarget> foreign;
        synchronized (localTargets) {
            foreign = Optional.ofNullable(foreignTargets.get(target));
        }
        return foreign.filter(known -> membership
                .member(known.owner())
                .filter(member -> !member.suspected())
                .isPresent());
    }

    /** Returns whether an announcement need not be published, as it only renews one that was published recently. */
    private boolean isRenewal(ForeignTarget foreign, TargetAnnouncement announcement) {
        long validityNanos = TimeUnit.MILLISECONDS.toNanos(announcement.timeToLiveMillis());
        Optional<TargetAnnouncement> registered = registry.target(announcement.id());
        return clock.nanos() - foreign.publishedNanos() < validityNanos / REPUBLICATION_DIVISOR
                // A cold target states its remaining time, which each announcement changes.
                && announcement.coldRemainingMillis() <= 0
                && announcement.isNewerThan(foreign.announcement())
                && equalsIgnoringLoadAndSequence(foreign.announcement(), announcement)
                && registered
                        .filter(known ->
                                known.sequence() == foreign.announcement().sequence())
                        .filter(known -> !isLoadChanged(known.load(), announcement))
                        .isPresent();
    }

    @Override
    public void receiveDeregistration(TargetId target, Optional<Long> incarnation) {
        registry.target(target)
                .filter(known -> !known.leaving() && known.isEndedBy(incarnation))
                .ifPresent(known -> receiveAnnouncement(known.asLeaving()));
    }

    /** Notifies all instances that a target has loaded or unloaded a model or adapter. */
    public void contentChanged(TargetAnnouncement target, ModelId model, boolean present) {
        registry.contentChanged(target.id(), target.incarnation(), model, present);
        membership.publishBatched(new TargetContentFact(target.id(), target.incarnation(), model, present));
    }

    /** Applies the target facts of another instance immediately, so that leaving targets are known without delay. */
    private void factReceived(InstanceId owner, Fact fact) {
        if (fact instanceof TargetFact target) {
            targetReceived(owner, target.announcement());
        }
        if (fact instanceof TargetGoneFact gone) {
            synchronized (localTargets) {
                foreignTargets.computeIfPresent(
                        gone.target(), (id, foreign) -> foreign.owner().equals(owner) ? null : foreign);
            }
        }
        if (fact instanceof TargetContentFact content) {
            registry.contentChanged(content.target(), content.incarnation(), content.model(), content.present());
        }
    }

    private void targetReceived(InstanceId owner, TargetAnnouncement announcement) {
        Duration age = membership.timeSinceAdvance(owner);
        if (!registry.announce(announcement, age)) {
            return;
        }
        boolean moved;
        synchronized (localTargets) {
            foreignTargets.put(
                    announcement.id(), new ForeignTarget(owner, announcement, clock.nanos() - age.toNanos()));
            moved = localTargets.remove(announcement.id()) != null;
        }
        if (moved) {
            // The older fact of this instance would not renew the newer announcement anywhere.
            membership.publish(new TargetGoneFact(announcement.id()));
        }
    }

    private void periodPassed() {
        removeExpiredTargets();
        membership.members().stream()
                .filter(member -> !member.suspected())
                .forEach(member -> renewTargetsOf(member.id()));
        registry.expire();
    }

    private void removeExpiredTargets() {
        List<TargetId> expired = new ArrayList<>();
        long now = clock.nanos();
        synchronized (localTargets) {
            localTargets.values().removeIf(target -> {
                boolean isExpired = target.isExpired(now);
                if (isExpired) {
                    expired.add(target.announcement().id());
                }
                return isExpired;
            });
            foreignTargets.values().removeIf(target -> target.isExpired(now));
        }
        expired.forEach(target -> membership.publishUrgently(new TargetGoneFact(target)));
    }

    private void renewTargetsOf(InstanceId owner) {
        Map<TargetId, Load> loads = new HashMap<>();
        membership.facts(owner, TargetLoadFact.class).forEach(fact -> loads.put(fact.target(), fact.load()));
        for (TargetFact fact : membership.facts(owner, TargetFact.class)) {
            TargetAnnouncement announcement = fact.announcement();
            if (!isLocal(announcement.id())) {
                registry.renew(announcement.withLoad(loads.getOrDefault(announcement.id(), announcement.load())));
            }
        }
    }

    private boolean isLocal(TargetId target) {
        synchronized (localTargets) {
            return localTargets.containsKey(target);
        }
    }

    private static boolean isLoadChanged(Load publishedLoad, TargetAnnouncement announcement) {
        Load load = announcement.load();
        int change =
                Math.abs(load.running() - publishedLoad.running()) + Math.abs(load.waiting() - publishedLoad.waiting());
        return change > 0 && change >= announcement.slots() * LOAD_CHANGE_SHARE;
    }

    private static boolean equalsIgnoringLoadAndSequence(TargetAnnouncement one, TargetAnnouncement other) {
        return one.withLoad(other.load())
                .withSequence(other.sequence())
                .withColdRemaining(other.coldRemainingMillis())
                .equals(other);
    }

    private static TargetAnnouncement withoutAdapters(TargetAnnouncement announcement) {
        Map<ModelId, LoadedModel> models = new HashMap<>(announcement.contents());
        models.keySet().removeIf(model -> model.adapter().isPresent());
        return announcement.withContents(models);
    }

    /** An announcement to this instance, and the time it was received. */
    private record LocalTarget(TargetAnnouncement announcement, long receivedNanos) {
        /** Returns whether a newer announcement states that the target is cold, or is cold for notably longer. */
        boolean isColdForLonger(TargetAnnouncement newer, long nowNanos) {
            long elapsed = TimeUnit.NANOSECONDS.toMillis(nowNanos - receivedNanos);
            long expected = Math.max(0, announcement.coldRemainingMillis() - elapsed);
            return newer.coldRemainingMillis() > 0
                    && (expected == 0 || newer.coldRemainingMillis() - expected > COLD_CHANGE_MILLIS);
        }

        boolean isExpired(long nowNanos) {
            return nowNanos - receivedNanos > TimeUnit.MILLISECONDS.toNanos(announcement.timeToLiveMillis());
        }
    }

    /** The newest announcement that another instance published, and when it did so, as far as is known here. */
    private record ForeignTarget(InstanceId owner, TargetAnnouncement announcement, long publishedNanos) {
        boolean isExpired(long nowNanos) {
            return nowNanos - publishedNanos > TimeUnit.MILLISECONDS.toNanos(announcement.timeToLiveMillis());
        }
    }
}
