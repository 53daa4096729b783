package org.basilrill.coordination.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
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
 * Spreads the targets announced to this instance, and takes those announced to others. An announcement that only
 * renews the time to live is not spread: other instances renew it as long as they hear of this instance. A target is
 * dropped everywhere once its time to live has passed here, or once this instance is suspected. Thread safe: one lock
 * guards the announcements made here.
 */
public final class TargetSpread implements AnnouncementReceiver {
    /** A load report is spread when it differs from the last one by this share of the slots. */
    private static final double LOAD_CHANGE_SHARE = 0.1;

    private final GossipMembership membership;
    private final TargetRegistry registry;
    private final MonotonicClock clock;
    private final Map<TargetId, LocalTarget> local = new HashMap<>();

    /** Creates the spread of one instance and registers it with the membership. */
    public TargetSpread(GossipMembership membership, TargetRegistry registry, MonotonicClock clock) {
        this.membership = membership;
        this.registry = registry;
        this.clock = clock;
        membership.onFact(this::learn);
        membership.onPeriod(this::periodPassed);
    }

    @Override
    public void announced(TargetAnnouncement announcement) {
        if (!registry.announce(announcement)) {
            return;
        }
        LocalTarget previous;
        synchronized (local) {
            previous = local.get(announcement.id());
            boolean spreadLoad = previous == null || differs(previous.spreadLoad(), announcement);
            Load spread = spreadLoad ? announcement.load() : previous.spreadLoad();
            local.put(announcement.id(), new LocalTarget(announcement, clock.nanos(), spread));
        }
        if (previous == null || !sameFacts(withoutAdapters(previous.announcement()), withoutAdapters(announcement))) {
            membership.publishUrgently(new TargetFact(announcement));
        } else if (!sameFacts(previous.announcement(), announcement)) {
            // Who ordered the change of adapters has told it already.
            membership.publish(new TargetFact(announcement));
        }
        if (previous == null || differs(previous.spreadLoad(), announcement)) {
            membership.publish(new TargetLoadFact(announcement.id(), announcement.load()));
        }
    }

    @Override
    public void left(TargetId target) {
        registry.target(target).filter(known -> !known.leaving()).ifPresent(known -> announced(known.left()));
    }

    /** Tells all instances that a model or adapter was loaded at a target, or unloaded. */
    public void contentChanged(TargetAnnouncement target, ModelId model, boolean present) {
        registry.contentChanged(target.id(), target.incarnation(), model, present);
        membership.publishSoon(new TargetContentFact(target.id(), target.incarnation(), model, present));
    }

    /** Takes a fact of another instance at once when it concerns a target, so that leaving targets are known. */
    private void learn(InstanceId owner, Fact fact) {
        if (fact instanceof TargetFact target) {
            registry.announce(target.announcement(), membership.silenceOf(owner));
        }
        if (fact instanceof TargetContentFact content) {
            registry.contentChanged(content.target(), content.incarnation(), content.model(), content.present());
        }
    }

    private void periodPassed() {
        dropExpired();
        membership.members().stream()
                .filter(member -> !member.suspected())
                .forEach(member -> renewTargetsOf(member.id()));
        registry.expire();
    }

    private void dropExpired() {
        List<TargetId> expired = new ArrayList<>();
        long now = clock.nanos();
        synchronized (local) {
            local.values().removeIf(target -> {
                boolean gone = target.isExpired(now);
                if (gone) {
                    expired.add(target.announcement().id());
                }
                return gone;
            });
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
        synchronized (local) {
            return local.containsKey(target);
        }
    }

    private static boolean differs(Load spread, TargetAnnouncement announcement) {
        Load load = announcement.load();
        int change = Math.abs(load.running() - spread.running()) + Math.abs(load.waiting() - spread.waiting());
        return change > 0 && change >= announcement.slots() * LOAD_CHANGE_SHARE;
    }

    private static boolean sameFacts(TargetAnnouncement one, TargetAnnouncement other) {
        return one.withLoad(other.load()).withSequence(other.sequence()).equals(other);
    }

    private static TargetAnnouncement withoutAdapters(TargetAnnouncement announcement) {
        Map<ModelId, LoadedModel> models = new HashMap<>(announcement.contents());
        models.keySet().removeIf(model -> model.adapter().isPresent());
        return announcement.withContents(models);
    }

    /** An announcement made to this instance, when it came, and the load that was last spread. */
    private record LocalTarget(TargetAnnouncement announcement, long receivedNanos, Load spreadLoad) {
        boolean isExpired(long nowNanos) {
            return nowNanos - receivedNanos > TimeUnit.MILLISECONDS.toNanos(announcement.timeToLiveMillis());
        }
    }
}
