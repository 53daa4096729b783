package org.basilrill.state.target;

import java.time.Duration;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import org.basilrill.api.ModelId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;

/**
 * Models and adapters that were loaded or unloaded at targets but may not be announced yet. A change expires after a
 * short time, when the announcements include it. Thread safe: all methods that other classes call are synchronized.
 */
final class ContentChanges {
    /** Longer than the periodic exchange takes to bring an announcement to every instance of a large deployment. */
    private static final Duration VALIDITY = Duration.ofSeconds(8);

    private final MonotonicClock clock;
    private final Map<TargetId, Map<ModelId, Change>> changes = new HashMap<>();

    ContentChanges(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Records a change at one incarnation of a target; replaces an earlier change of the same model. */
    synchronized void recordChange(TargetId target, long incarnation, ModelId model, boolean resident) {
        long expiresNanos = clock.nanos() + VALIDITY.toNanos();
        changes.computeIfAbsent(target, absent -> new HashMap<>())
                .put(model, new Change(incarnation, resident, expiresNanos));
    }

    /** Returns the announcement with the changes applied that it may not include yet. */
    synchronized TargetAnnouncement withChanges(TargetAnnouncement announcement) {
        Map<ModelId, Change> targetChanges = changes.get(announcement.id());
        if (targetChanges == null) {
            return announcement;
        }
        dropOutdated(targetChanges, announcement.incarnation());
        if (targetChanges.isEmpty()) {
            changes.remove(announcement.id());
            return announcement;
        }
        Map<ModelId, LoadedModel> contents = new HashMap<>(announcement.contents());
        targetChanges.forEach((model, change) -> {
            if (change.resident()) {
                contents.putIfAbsent(model, new LoadedModel(0, 0, true));
            } else {
                contents.remove(model);
            }
        });
        return announcement.withContents(contents);
    }

    private void dropOutdated(Map<ModelId, Change> targetChanges, long incarnation) {
        long now = clock.nanos();
        Iterator<Change> iterator = targetChanges.values().iterator();
        while (iterator.hasNext()) {
            Change change = iterator.next();
            if (change.incarnation() != incarnation || now - change.expiresNanos() > 0) {
                iterator.remove();
            }
        }
    }

    /** A model that was loaded or unloaded, and the time until which announcements may not include this. */
    private record Change(long incarnation, boolean resident, long expiresNanos) {}
}
