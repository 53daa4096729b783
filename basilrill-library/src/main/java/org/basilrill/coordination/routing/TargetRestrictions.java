package org.basilrill.coordination.routing;

import com.google.common.flogger.FluentLogger;
import java.util.LinkedHashMap;
import java.util.Map;
import org.basilrill.api.LogEvent;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetNotices;

/**
 * Restricts the requests that this instance sends to a target to what the target has stated in its responses.
 *
 * <p>A target that states that it is leaving gets no further request for as long as its incarnation lasts, whatever it
 * announces: its announcements may be older than the response. Thread safe: guarded by its own lock.
 */
public final class TargetRestrictions {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    /** Targets that are remembered. An expired announcement is no reason to forget one, as it may be renewed. */
    private static final int MAXIMUM_TARGETS = 4096;

    private final Map<TargetId, Restriction> restrictions = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<TargetId, Restriction> eldest) {
            return size() > MAXIMUM_TARGETS;
        }
    };

    /** Records what a response of the target states. */
    public void observe(TargetAnnouncement target, TargetNotices notices) {
        if (!notices.leaving()) {
            return;
        }
        synchronized (this) {
            Restriction known = restrictionOf(target);
            if (known.leaving) {
                return;
            }
            known.leaving = true;
        }
        LOGGER.atInfo().log("%s: target %s", LogEvent.TARGET_STATED_LEAVING, target.id());
    }

    /** Returns whether the target accepts requests from this instance at present. */
    public synchronized boolean accepts(TargetAnnouncement target) {
        return !isLeaving(target);
    }

    /** Returns whether the target has stated that it is leaving. */
    public synchronized boolean isLeaving(TargetAnnouncement target) {
        Restriction known = restrictions.get(target.id());
        return known != null && known.incarnation == target.incarnation() && known.leaving;
    }

    private Restriction restrictionOf(TargetAnnouncement target) {
        Restriction known = restrictions.get(target.id());
        if (known == null || known.incarnation < target.incarnation()) {
            known = new Restriction(target.incarnation());
            restrictions.put(target.id(), known);
        }
        return known;
    }

    /** What one incarnation of a target has stated; guarded by the lock of the owner. */
    private static final class Restriction {
        private final long incarnation;
        private boolean leaving;

        Restriction(long incarnation) {
            this.incarnation = incarnation;
        }
    }
}
