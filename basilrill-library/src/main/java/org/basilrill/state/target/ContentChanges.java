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
 * What was loaded at and unloaded from targets since their last announcements, which lag behind. A change holds for a
 * short time; then the announcements tell it. Thread safe: guards itself.
 */
final class ContentChanges {
    /** Longer than an announcement takes to every instance of a large deployment by the periodic exchange. */
    private static final Duration VALIDITY = Duration.ofSeconds(8);

    private final MonotonicClock clock;
    private final Map<TargetId, Map<ModelId, Change>> changes = new HashMap<>();

    ContentChanges(MonotonicClock clock) {
        this.clock = clock;
    }

    /** Notes a change at one incarnation of a target; replaces an earlier one of the same model. */
    synchronized void note(TargetId target, long incarnation, ModelId model, boolean present) {
        long untilNanos = clock.nanos() + VALIDITY.toNanos();
        changes.computeIfAbsent(target, absent -> new HashMap<>())
                .put(model, new Change(incarnation, present, untilNanos));
    }

    /** Returns the announcement with the changes that it may not contain yet. */
    synchronized TargetAnnouncement applied(TargetAnnouncement announcement) {
        Map<ModelId, Change> ofTarget = changes.get(announcement.id());
        if (ofTarget == null) {
            return announcement;
        }
        dropOutdated(ofTarget, announcement.incarnation());
        if (ofTarget.isEmpty()) {
            changes.remove(announcement.id());
            return announcement;
        }
        Map<ModelId, LoadedModel> contents = new HashMap<>(announcement.contents());
        ofTarget.forEach((model, change) -> {
            if (change.present()) {
                contents.putIfAbsent(model, new LoadedModel(0, 0, true));
            } else {
                contents.remove(model);
            }
        });
        return announcement.withContents(contents);
    }

    private void dropOutdated(Map<ModelId, Change> ofTarget, long incarnation) {
        long now = clock.nanos();
        Iterator<Change> held = ofTarget.values().iterator();
        while (held.hasNext()) {
            Change change = held.next();
            if (change.incarnation() != incarnation || now - change.untilNanos() > 0) {
                held.remove();
            }
        }
    }

    /** Whether a model was loaded or unloaded, and until when the announcements may not tell it. */
    private record Change(long incarnation, boolean present, long untilNanos) {}
}
