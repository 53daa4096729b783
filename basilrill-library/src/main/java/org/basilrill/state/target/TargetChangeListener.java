package org.basilrill.state.target;

/** Is notified of changes in the target registry. Called without locks held, possibly by several threads at once. */
@FunctionalInterface
public interface TargetChangeListener {
    /**
     * Handles one change. Two changes of one target may be notified out of order if several threads announce it, so a
     * listener that keeps state reads the registry or compares with {@link TargetAnnouncement#isNewerThan}.
     */
    void changed(Change change);

    /** Kind of a change. */
    enum Kind {
        APPEARED,
        UPDATED,
        RESTARTED,
        EXPIRED
    }

    /** One change with the announcement it concerns; for an expiry, the last one registered. */
    record Change(Kind kind, TargetAnnouncement announcement) {}
}
