package org.basilrill.state.target;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetChangeListener.Change;
import org.basilrill.state.target.TargetChangeListener.Kind;

/**
 * Holds the newest announcement of each target until its time to live ends.
 *
 * <p>Invariants: an announcement never replaces a newer one of the same target, not even after the newer one expired;
 * a reader never gets an expired announcement, whether or not {@link #expire} ran. Thread safe: split into shards by
 * target, each guarded by its own lock. An operation on one target, or a lookup of one model or service, is atomic;
 * {@link #targets} reads the shards one after the other.
 */
public final class TargetRegistry implements TargetDirectory {
    private static final int SHARDS = 16;

    /** Expired announcements are kept this long, so that a delayed older announcement does not revive the target. */
    private static final Duration EXPIRED_RETENTION = Duration.ofMinutes(1);

    private final MonotonicClock clock;
    private final Incarnations incarnations;
    private final List<Map<TargetId, HeldAnnouncement>> shards = new ArrayList<>();
    private final DestinationIndex<ModelId> models = new DestinationIndex<>();
    private final DestinationIndex<String> services = new DestinationIndex<>();
    private final List<TargetChangeListener> listeners = new CopyOnWriteArrayList<>();
    private final ContentChanges changes;
    /** The target that started last at each address. */
    private final Map<Address, TargetAnnouncement> latestAt = new ConcurrentHashMap<>();

    /** Creates a registry of targets whose incarnations can be compared for one target only. */
    public TargetRegistry(MonotonicClock clock) {
        this(clock, Incarnations.OF_ONE_TARGET);
    }

    /** Creates an empty registry. */
    public TargetRegistry(MonotonicClock clock, Incarnations incarnations) {
        this.clock = clock;
        this.incarnations = incarnations;
        changes = new ContentChanges(clock);
        for (int number = 0; number < SHARDS; number++) {
            shards.add(new HashMap<>());
        }
    }

    /** What the incarnations of targets tell. */
    public enum Incarnations {
        /** Which of two announcements of one target is later. */
        OF_ONE_TARGET,
        /** When a target started, so that of two targets at one address the later one has replaced the other. */
        START_TIMES
    }

    /** Adds a listener for all later changes. */
    public void addListener(TargetChangeListener listener) {
        listeners.add(listener);
    }

    /** Takes an announcement made just now; returns whether it is newer than what was known. */
    public boolean announce(TargetAnnouncement announcement) {
        return announce(announcement, Duration.ZERO);
    }

    /**
     * Takes an announcement that reached this instance by way of another.
     *
     * @param told the announcement as the target made it
     * @param age time since the target made it; shortens the remaining time to live
     * @return whether it is unexpired and newer than what was known; otherwise nothing changed
     */
    public boolean announce(TargetAnnouncement told, Duration age) {
        TargetAnnouncement announcement = changes.applied(told);
        long now = clock.nanos();
        long timeToLiveNanos =
                Duration.ofMillis(announcement.timeToLiveMillis()).toNanos();
        HeldAnnouncement held = new HeldAnnouncement(announcement, now + timeToLiveNanos - age.toNanos(), false);
        if (!held.isValidAt(now)) {
            return false;
        }
        Kind kind;
        Map<TargetId, HeldAnnouncement> shard = shardOf(announcement.id());
        synchronized (shard) {
            HeldAnnouncement previous = shard.get(announcement.id());
            if (previous != null && !announcement.isNewerThan(previous.announcement())) {
                return false;
            }
            shard.put(announcement.id(), held);
            index(Optional.ofNullable(previous), held);
            kind = kindOfChange(Optional.ofNullable(previous), held, now);
        }
        notifyListeners(new Change(kind, announcement));
        if (incarnations == Incarnations.START_TIMES) {
            endOthersAtAddressOf(announcement);
        }
        return true;
    }

    /** Of the targets at one address, the one that started last proves that the others have ended. */
    private void endOthersAtAddressOf(TargetAnnouncement announcement) {
        Address address = Address.of(announcement);
        TargetAnnouncement latest = latestAt.merge(
                address, announcement, (held, next) -> next.incarnation() >= held.incarnation() ? next : held);
        for (TargetAnnouncement known : targets()) {
            if (Address.of(known).equals(address) && !known.id().equals(latest.id())) {
                end(known.id());
            }
        }
    }

    /** Drops a target that has ended; only a later incarnation of it brings it back. */
    private void end(TargetId target) {
        Optional<HeldAnnouncement> ended = Optional.empty();
        Map<TargetId, HeldAnnouncement> shard = shardOf(target);
        synchronized (shard) {
            HeldAnnouncement held = shard.get(target);
            if (held != null && !held.removalReported()) {
                HeldAnnouncement last = new HeldAnnouncement(held.announcement().left(), clock.nanos(), true);
                unindex(held.announcement(), Set.of(), Optional.empty());
                shard.put(target, last);
                ended = Optional.of(last);
            }
        }
        ended.ifPresent(last -> notifyListeners(new Change(Kind.EXPIRED, last.announcement())));
    }

    /**
     * Extends the time to live of an announcement that the instance it was made to still holds, and takes the load
     * reported with it. An announcement that is newer than the held one is taken like any other.
     */
    public void renew(TargetAnnouncement told) {
        if (announce(told)) {
            return;
        }
        TargetAnnouncement announcement = changes.applied(told);
        long now = clock.nanos();
        Map<TargetId, HeldAnnouncement> shard = shardOf(announcement.id());
        synchronized (shard) {
            HeldAnnouncement previous = shard.get(announcement.id());
            if (previous == null || previous.announcement().isNewerThan(announcement)) {
                return;
            }
            long expiresNanos =
                    now + Duration.ofMillis(announcement.timeToLiveMillis()).toNanos();
            HeldAnnouncement renewed = new HeldAnnouncement(announcement, expiresNanos, false);
            shard.put(announcement.id(), renewed);
            index(Optional.of(previous), renewed);
        }
    }

    /**
     * Notes that a model or adapter was loaded at an incarnation of a target, or unloaded, before the target announces
     * it.
     */
    public void contentChanged(TargetId target, long incarnation, ModelId model, boolean present) {
        changes.note(target, incarnation, model, present);
        Optional<TargetAnnouncement> changed = Optional.empty();
        Map<TargetId, HeldAnnouncement> shard = shardOf(target);
        synchronized (shard) {
            HeldAnnouncement previous = shard.get(target);
            if (previous == null || !previous.isValidAt(clock.nanos())) {
                return;
            }
            TargetAnnouncement updated = changes.applied(previous.announcement());
            if (!updated.contents().equals(previous.announcement().contents())) {
                HeldAnnouncement held =
                        new HeldAnnouncement(updated, previous.expiresNanos(), previous.removalReported());
                shard.put(target, held);
                index(Optional.of(previous), held);
                changed = Optional.of(updated);
            }
        }
        changed.ifPresent(announcement -> notifyListeners(new Change(Kind.UPDATED, announcement)));
    }

    /** Drops what has expired and tells the listeners. Worth calling every few hundred milliseconds. */
    public void expire() {
        long now = clock.nanos();
        List<Change> changes = new ArrayList<>();
        for (Map<TargetId, HeldAnnouncement> shard : shards) {
            synchronized (shard) {
                expireShard(shard, now, changes);
            }
        }
        changes.sort(Comparator.comparing(change -> change.announcement().id()));
        changes.forEach(this::notifyListeners);
    }

    @Override
    public Collection<TargetAnnouncement> targets() {
        long now = clock.nanos();
        List<TargetAnnouncement> found = new ArrayList<>();
        for (Map<TargetId, HeldAnnouncement> shard : shards) {
            synchronized (shard) {
                shard.values().stream()
                        .filter(held -> held.isValidAt(now))
                        .forEach(held -> found.add(held.announcement()));
            }
        }
        found.sort(Comparator.comparing(TargetAnnouncement::id));
        return found;
    }

    @Override
    public Optional<TargetAnnouncement> target(TargetId id) {
        Map<TargetId, HeldAnnouncement> shard = shardOf(id);
        synchronized (shard) {
            return Optional.ofNullable(shard.get(id))
                    .filter(held -> held.isValidAt(clock.nanos()))
                    .map(HeldAnnouncement::announcement);
        }
    }

    @Override
    public Collection<TargetAnnouncement> readyFor(ModelId model) {
        return models.find(model, clock.nanos());
    }

    @Override
    public Collection<TargetAnnouncement> ofService(String service) {
        return services.find(service, clock.nanos());
    }

    private void expireShard(Map<TargetId, HeldAnnouncement> shard, long now, List<Change> changes) {
        Iterator<Map.Entry<TargetId, HeldAnnouncement>> entries =
                shard.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<TargetId, HeldAnnouncement> entry = entries.next();
            HeldAnnouncement held = entry.getValue();
            if (held.isValidAt(now)) {
                continue;
            }
            if (!held.removalReported()) {
                unindex(held.announcement(), Set.of(), Optional.empty());
                entry.setValue(held.withRemovalReported());
                changes.add(new Change(Kind.EXPIRED, held.announcement()));
            } else if (now - held.expiresNanos() > EXPIRED_RETENTION.toNanos()) {
                entries.remove();
            }
        }
    }

    private void index(Optional<HeldAnnouncement> previous, HeldAnnouncement held) {
        TargetAnnouncement announcement = held.announcement();
        Set<ModelId> ready = readyModels(announcement);
        Optional<String> service = announcement.leaving() ? Optional.empty() : announcement.service();
        previous.ifPresent(old -> unindex(old.announcement(), ready, service));
        ready.forEach(model -> models.put(model, held));
        service.ifPresent(name -> services.put(name, held));
    }

    /** Removes a target from the index, except under the keys that the caller is about to overwrite. */
    private void unindex(TargetAnnouncement old, Set<ModelId> keptModels, Optional<String> keptService) {
        for (ModelId model : readyModels(old)) {
            if (!keptModels.contains(model)) {
                models.remove(model, old.id());
            }
        }
        if (!old.service().equals(keptService)) {
            old.service().ifPresent(name -> services.remove(name, old.id()));
        }
    }

    private static Set<ModelId> readyModels(TargetAnnouncement announcement) {
        Set<ModelId> ready = new HashSet<>();
        if (!announcement.leaving()) {
            announcement.contents().forEach((model, loaded) -> {
                if (loaded.ready()) {
                    ready.add(model);
                }
            });
        }
        return ready;
    }

    private static Kind kindOfChange(Optional<HeldAnnouncement> previous, HeldAnnouncement held, long now) {
        if (previous.isEmpty() || !previous.get().isValidAt(now)) {
            return Kind.APPEARED;
        }
        boolean restarted = previous.get().announcement().incarnation()
                != held.announcement().incarnation();
        return restarted ? Kind.RESTARTED : Kind.UPDATED;
    }

    private void notifyListeners(Change change) {
        listeners.forEach(listener -> listener.changed(change));
    }

    /** Where a target is reached. */
    private record Address(String host, int port) {
        static Address of(TargetAnnouncement target) {
            return new Address(target.host(), target.port());
        }
    }

    private Map<TargetId, HeldAnnouncement> shardOf(TargetId id) {
        return shards.get(Math.floorMod(id.hashCode(), SHARDS));
    }
}
