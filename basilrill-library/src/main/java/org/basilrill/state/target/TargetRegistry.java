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
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.function.UnaryOperator;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetChangeListener.Change;
import org.basilrill.state.target.TargetChangeListener.Kind;

/**
 * Stores the newest announcement of each target until its time to live ends.
 *
 * <p>Invariants: an announcement never replaces a newer one of the same target, not even after the newer one expired;
 * a reader never gets an expired announcement, whether or not {@link #expire} ran. Thread safe: split into shards by
 * target, each guarded by its own lock. An operation on one target, or a lookup of one model or service, is atomic;
 * {@link #targets} reads the shards one after the other.
 */
public final class TargetRegistry implements TargetDirectory {
    private static final int SHARDS = 16;

    /**
     * Time for which expired announcements are kept, so that a delayed older one does not register the target again.
     */
    private static final Duration EXPIRED_RETENTION = Duration.ofMinutes(1);

    private final MonotonicClock clock;
    private final Incarnations incarnations;
    private final List<Map<TargetId, RegisteredAnnouncement>> shards = new ArrayList<>();
    private final DestinationIndex<ModelId> models = new DestinationIndex<>();
    private final DestinationIndex<String> services = new DestinationIndex<>();
    private final List<TargetChangeListener> listeners = new CopyOnWriteArrayList<>();
    private final ContentChanges changes;
    private final RestartSuspicions restartSuspicions;
    private final TargetAddresses addresses = new TargetAddresses();

    /** Creates an empty registry of targets whose incarnations can be compared only within one target. */
    public TargetRegistry(MonotonicClock clock) {
        this(clock, Incarnations.OF_ONE_TARGET);
    }

    /** Creates an empty registry. */
    public TargetRegistry(MonotonicClock clock, Incarnations incarnations) {
        this.clock = clock;
        this.incarnations = incarnations;
        changes = new ContentChanges(clock);
        restartSuspicions = new RestartSuspicions(clock);
        for (int number = 0; number < SHARDS; number++) {
            shards.add(new HashMap<>());
        }
    }

    /** How incarnations of targets can be compared. */
    public enum Incarnations {
        /** Only within one target: the higher incarnation is the later one. */
        OF_ONE_TARGET,
        /** Incarnations are start times, so that of two targets at one address the later one has replaced the other. */
        START_TIMES
    }

    /** Adds a listener for all later changes. */
    public void addListener(TargetChangeListener listener) {
        listeners.add(listener);
    }

    /** Registers an announcement made just now; returns whether it is newer than the registered one. */
    public boolean announce(TargetAnnouncement announcement) {
        return announce(announcement, Duration.ZERO);
    }

    /**
     * Registers an announcement that another instance forwarded.
     *
     * @param original the announcement as the target made it
     * @param age time since the target made it; shortens the remaining time to live
     * @return whether it is unexpired and newer than the registered one; otherwise nothing changes
     */
    public boolean announce(TargetAnnouncement original, Duration age) {
        TargetAnnouncement announcement = restartSuspicions.apply(changes.withChanges(original));
        long now = clock.nanos();
        RegisteredAnnouncement registered =
                new RegisteredAnnouncement(announcement, expiry(announcement, now) - age.toNanos(), false);
        if (!registered.isValidAt(now)) {
            return false;
        }
        Kind kind;
        Map<TargetId, RegisteredAnnouncement> shard = shardOf(announcement.id());
        synchronized (shard) {
            RegisteredAnnouncement previous = shard.get(announcement.id());
            if (previous != null && !announcement.isNewerThan(previous.announcement())) {
                return false;
            }
            shard.put(announcement.id(), registered);
            index(Optional.ofNullable(previous), registered);
            kind = kindOfChange(Optional.ofNullable(previous), registered, now);
        }
        notifyListeners(new Change(kind, announcement));
        if (incarnations == Incarnations.START_TIMES) {
            removeOthersAtAddressOf(announcement);
        }
        return true;
    }

    /** Removes all targets at the address but the one that started last, which proves that the others have ended. */
    private void removeOthersAtAddressOf(TargetAnnouncement announcement) {
        for (TargetId ended : addresses.endedBy(announcement)) {
            if (target(ended)
                    .filter(known -> TargetAddresses.areEqual(known, announcement))
                    .isPresent()) {
                removeEnded(ended);
            }
        }
    }

    /** Removes a target that has ended; only a later incarnation of it is registered again. */
    private void removeEnded(TargetId target) {
        Optional<RegisteredAnnouncement> ended = Optional.empty();
        Map<TargetId, RegisteredAnnouncement> shard = shardOf(target);
        synchronized (shard) {
            RegisteredAnnouncement registered = shard.get(target);
            if (registered != null && !registered.removalReported()) {
                RegisteredAnnouncement last =
                        new RegisteredAnnouncement(registered.announcement().asLeaving(), clock.nanos(), true);
                unindex(registered.announcement(), Set.of(), Optional.empty());
                shard.put(target, last);
                ended = Optional.of(last);
            }
        }
        ended.ifPresent(last -> notifyListeners(new Change(Kind.EXPIRED, last.announcement())));
    }

    /**
     * Extends the time to live of an announcement that is still registered at the instance that received it from the
     * target, and updates its load. An announcement that is newer than the registered one is registered as usual.
     */
    public void renew(TargetAnnouncement original) {
        if (renewUnchanged(original) || announce(original)) {
            return;
        }
        TargetAnnouncement announcement = restartSuspicions.apply(changes.withChanges(original));
        long now = clock.nanos();
        Map<TargetId, RegisteredAnnouncement> shard = shardOf(announcement.id());
        synchronized (shard) {
            RegisteredAnnouncement previous = shard.get(announcement.id());
            if (previous == null || previous.announcement().isNewerThan(announcement)) {
                return;
            }
            RegisteredAnnouncement renewed = new RegisteredAnnouncement(announcement, expiry(announcement, now), false);
            shard.put(announcement.id(), renewed);
            index(Optional.of(previous), renewed);
        }
    }

    /**
     * Renews the registered announcement without copying it or changing the index, which is the usual case, or does
     * nothing because a newer one is registered; returns whether that is so. Content changes and suspicions may end
     * with time, so an announcement that they apply to takes the other way.
     */
    private boolean renewUnchanged(TargetAnnouncement original) {
        if (changes.withChanges(original) != original || restartSuspicions.apply(original) != original) {
            return false;
        }
        Map<TargetId, RegisteredAnnouncement> shard = shardOf(original.id());
        synchronized (shard) {
            RegisteredAnnouncement previous = shard.get(original.id());
            if (previous == null || original.isNewerThan(previous.announcement())) {
                return false;
            }
            if (previous.announcement().isNewerThan(original)) {
                return true;
            }
            long now = clock.nanos();
            return previous.isValidAt(now)
                    && !previous.removalReported()
                    && previous.announcement().equals(original)
                    && previous.renew(expiry(original, now));
        }
    }

    private static long expiry(TargetAnnouncement announcement, long now) {
        return now + TimeUnit.MILLISECONDS.toNanos(announcement.timeToLiveMillis());
    }

    /**
     * Records that a model or adapter was loaded or unloaded at an incarnation of a target, before the target announces
     * it.
     */
    public void contentChanged(TargetId target, long incarnation, ModelId model, boolean resident) {
        changes.recordChange(target, incarnation, model, resident);
        update(target, changes::withChanges);
    }

    /**
     * Records that a target may have started again with another software version, as it refused a connection. Its
     * announced version is unconfirmed until it is heard of anew.
     */
    public void suspectRestart(RestartSuspicion suspicion) {
        restartSuspicions.suspect(suspicion);
        update(suspicion.target(), restartSuspicions::apply);
    }

    /**
     * Records that an exchange received further bytes. If it began well before the target was suspected of a restart,
     * the suspicion ends, and the next announcement or renewal confirms the version.
     *
     * @param target as it was announced when the exchange began
     * @param receivingSinceNanos when the exchange received its first bytes, on the monotonic clock
     * @return whether a suspicion ended
     */
    public boolean exchangeContinues(TargetAnnouncement target, long receivingSinceNanos) {
        return restartSuspicions.exchangeContinues(target, receivingSinceNanos);
    }

    private void update(TargetId target, UnaryOperator<TargetAnnouncement> change) {
        Optional<TargetAnnouncement> changed = Optional.empty();
        Map<TargetId, RegisteredAnnouncement> shard = shardOf(target);
        synchronized (shard) {
            RegisteredAnnouncement previous = shard.get(target);
            if (previous == null || !previous.isValidAt(clock.nanos())) {
                return;
            }
            TargetAnnouncement updated = change.apply(previous.announcement());
            if (!updated.equals(previous.announcement())) {
                RegisteredAnnouncement registered =
                        new RegisteredAnnouncement(updated, previous.expiresNanos(), previous.removalReported());
                shard.put(target, registered);
                index(Optional.of(previous), registered);
                changed = Optional.of(updated);
            }
        }
        changed.ifPresent(announcement -> notifyListeners(new Change(Kind.UPDATED, announcement)));
    }

    /** Removes expired announcements and notifies the listeners. To be called every few hundred milliseconds. */
    public void expire() {
        long now = clock.nanos();
        List<Change> changes = new ArrayList<>();
        for (Map<TargetId, RegisteredAnnouncement> shard : shards) {
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
        for (Map<TargetId, RegisteredAnnouncement> shard : shards) {
            synchronized (shard) {
                shard.values().stream()
                        .filter(registered -> registered.isValidAt(now))
                        .forEach(registered -> found.add(registered.announcement()));
            }
        }
        found.sort(Comparator.comparing(TargetAnnouncement::id));
        return found;
    }

    @Override
    public Optional<TargetAnnouncement> target(TargetId id) {
        Map<TargetId, RegisteredAnnouncement> shard = shardOf(id);
        synchronized (shard) {
            return Optional.ofNullable(shard.get(id))
                    .filter(registered -> registered.isValidAt(clock.nanos()))
                    .map(RegisteredAnnouncement::announcement);
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

    private void expireShard(Map<TargetId, RegisteredAnnouncement> shard, long now, List<Change> changes) {
        Iterator<Map.Entry<TargetId, RegisteredAnnouncement>> entries =
                shard.entrySet().iterator();
        while (entries.hasNext()) {
            Map.Entry<TargetId, RegisteredAnnouncement> entry = entries.next();
            RegisteredAnnouncement registered = entry.getValue();
            if (registered.isValidAt(now)) {
                continue;
            }
            if (!registered.removalReported()) {
                unindex(registered.announcement(), Set.of(), Optional.empty());
                entry.setValue(registered.withRemovalReported());
                changes.add(new Change(Kind.EXPIRED, registered.announcement()));
            } else if (now - registered.expiresNanos() > EXPIRED_RETENTION.toNanos()) {
                entries.remove();
            }
        }
    }

    private void index(Optional<RegisteredAnnouncement> previous, RegisteredAnnouncement registered) {
        TargetAnnouncement announcement = registered.announcement();
        Set<ModelId> ready = readyModels(announcement);
        Optional<String> service = announcement.leaving() ? Optional.empty() : announcement.service();
        previous.ifPresent(old -> unindex(old.announcement(), ready, service));
        ready.forEach(model -> models.put(model, registered));
        service.ifPresent(name -> services.put(name, registered));
    }

    /** Removes a target from the index, except under the keys that are about to be overwritten. */
    private void unindex(TargetAnnouncement old, Set<ModelId> keptModels, Optional<String> keptService) {
        for (ModelId model : old.contents().keySet()) {
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

    private static Kind kindOfChange(
            Optional<RegisteredAnnouncement> previous, RegisteredAnnouncement registered, long now) {
        if (previous.isEmpty() || !previous.get().isValidAt(now)) {
            return Kind.APPEARED;
        }
        boolean restarted = previous.get().announcement().incarnation()
                != registered.announcement().incarnation();
        return restarted ? Kind.RESTARTED : Kind.UPDATED;
    }

    private void notifyListeners(Change change) {
        listeners.forEach(listener -> listener.changed(change));
    }

    private Map<TargetId, RegisteredAnnouncement> shardOf(TargetId id) {
        return shards.get(Math.floorMod(id.hashCode(), SHARDS));
    }
}
