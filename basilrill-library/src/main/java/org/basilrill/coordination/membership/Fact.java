package org.basilrill.coordination.membership;

import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/** A small fact that one instance spreads to all others. Immutable and thread safe. */
public sealed interface Fact {
    /** Returns the key of the fact; a later fact of the same owner under the same key replaces it. */
    String key();

    /** What an instance says about itself; changes rarely. */
    record InstanceFact(
            String dataCentre,
            String callerAddress,
            String peerAddress,
            boolean draining,
            boolean current,
            long revision,
            boolean replica)
            implements Fact {
        /** Creates the fact of an instance without a replica of the control log. */
        public InstanceFact(
                String dataCentre,
                String callerAddress,
                String peerAddress,
                boolean draining,
                boolean current,
                long revision) {
            this(dataCentre, callerAddress, peerAddress, draining, current, revision, false);
        }

        @Override
        public String key() {
            return "instance";
        }
    }

    /** Load of an instance; changes often, so it is kept apart from the rest. */
    record InstanceLoadFact(int requestsInFlight) implements Fact {
        @Override
        public String key() {
            return "load";
        }
    }

    /** A target announced to the owner of the fact, without its load. */
    record TargetFact(TargetAnnouncement announcement) implements Fact {
        @Override
        public String key() {
            return targetKey(announcement.id());
        }
    }

    /** Load of a target announced to the owner of the fact. */
    record TargetLoadFact(TargetId target, TargetAnnouncement.Load load) implements Fact {
        @Override
        public String key() {
            return "target-load/" + target;
        }
    }

    /** A target that is no longer announced to the owner of the fact. */
    record TargetGoneFact(TargetId target) implements Fact {
        @Override
        public String key() {
            return targetKey(target);
        }
    }

    /**
     * A request that must not run any more. It only bridges the time until the next pull of the control state, so a
     * later one of the same owner may replace it.
     *
     * @param fingerprint SHA-256 of account and body
     */
    record BlockedRequestFact(String fingerprint) implements Fact {
        @Override
        public String key() {
            return "blocked-request";
        }
    }

    /**
     * A model or adapter that the owner of the fact had loaded at a target, or unloaded. It only bridges the time until
     * the target announces it.
     */
    record TargetContentFact(TargetId target, long incarnation, ModelId model, boolean present) implements Fact {
        @Override
        public String key() {
            return "target-content/" + target + "/" + model;
        }
    }

    private static String targetKey(TargetId target) {
        return "target/" + target;
    }
}
