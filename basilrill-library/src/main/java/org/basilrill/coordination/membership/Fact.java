package org.basilrill.coordination.membership;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.RestartSuspicion;
import org.basilrill.state.target.TargetAnnouncement;

/** A small fact that one instance, its owner, disseminates to all others. Immutable and thread safe. */
public sealed interface Fact {
    /** Returns the key of the fact; a later fact of the same owner under the same key replaces it. */
    String key();

    /**
     * The state of an instance, published by itself; changes rarely.
     *
     * @param relay how it carries exchanges with targets for others, if it does
     * @param cutFromTargets whether it has lost its own paths to most targets
     * @param forwardsMessages whether it passes messages on for others whose links are down
     */
    record InstanceFact(
            String dataCentre,
            String callerAddress,
            String peerAddress,
            boolean draining,
            boolean current,
            long revision,
            boolean replica,
            Optional<RelayAccess> relay,
            boolean cutFromTargets,
            boolean forwardsMessages)
            implements Fact {
        /** Creates the fact for an instance without a replica of the control log and without a relay. */
        public InstanceFact(
                String dataCentre,
                String callerAddress,
                String peerAddress,
                boolean draining,
                boolean current,
                long revision) {
            this(
                    dataCentre,
                    callerAddress,
                    peerAddress,
                    draining,
                    current,
                    revision,
                    false,
                    Optional.empty(),
                    false,
                    false);
        }

        @Override
        public String key() {
            return "instance";
        }
    }

    /** Load of an instance; separate from {@link InstanceFact} because it changes often. */
    record InstanceLoadFact(int requestsInFlight) implements Fact {
        @Override
        public String key() {
            return "load";
        }
    }

    /**
     * A target announced to the owner of the fact, without its load.
     *
     * @param asOfNanos time, on the clock of this instance, at which the time until the target is warm was right; 0 if
     *     it is not cold, and in messages
     */
    record TargetFact(TargetAnnouncement announcement, long asOfNanos) implements Fact {
        /** Creates a fact that states the time until the target is warm as of the message that carries it. */
        public TargetFact(TargetAnnouncement announcement) {
            this(announcement, 0);
        }

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
     * A request that must not run again. The fact is needed only until the next pull of the control state, so a later
     * one of the same owner may replace it.
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
     * A model or adapter that a target has loaded or unloaded by order of the owner of the fact. The fact is needed
     * only until the target announces the change.
     */
    record TargetContentFact(TargetId target, long incarnation, ModelId model, boolean present) implements Fact {
        @Override
        public String key() {
            return "target-content/" + target + "/" + model;
        }
    }

    /**
     * The targets that refused a connection of the owner of the fact lately. Later facts replace earlier ones, so each
     * lists all that are still valid.
     */
    record RestartSuspicionsFact(List<RestartSuspicion> suspicions) implements Fact {
        public RestartSuspicionsFact {
            suspicions = List.copyOf(suspicions);
        }

        @Override
        public String key() {
            return "restart-suspicions";
        }
    }

    /** The highest level of control records that the owner of the fact understands. */
    record FormatLevelFact(int level) implements Fact {
        @Override
        public String key() {
            return "format-level";
        }
    }

    private static String targetKey(TargetId target) {
        return "target/" + target;
    }
}
