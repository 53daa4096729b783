package org.basilrill.state.target;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;

/**
 * State that a target announces about itself. Immutable and thread safe.
 *
 * @param incarnation changes when the target restarts
 * @param sequence increases with each announcement of one incarnation
 * @param host IP address
 * @param service name of the plain service it runs, or of the pool of engines it belongs to
 * @param timeToLiveMillis time for which the announcement is valid unless a newer one replaces it
 * @param memoryBytes size of its accelerator memory
 * @param contents models and adapters in its accelerator memory
 * @param slots number of requests that it can run at once
 * @param load reported load, which may be out of date
 * @param enforcesFencing whether it refuses target orders with an outdated fencing number
 * @param leaving whether it is leaving and must not get new requests
 * @param softwareVersion version of the software that it runs, if it announces one
 * @param coldRemainingMillis time until it is warm, counted from the reception of the announcement; 0 if it is not
 *     cold, {@link ColdRemaining#MALFORMED} if what it states cannot be read
 */
public record TargetAnnouncement(
        TargetId id,
        long incarnation,
        long sequence,
        String host,
        int port,
        String dataCentre,
        Optional<String> service,
        long timeToLiveMillis,
        long memoryBytes,
        Map<ModelId, LoadedModel> contents,
        Set<Role> roles,
        int slots,
        Load load,
        boolean enforcesFencing,
        boolean leaving,
        Optional<String> softwareVersion,
        long coldRemainingMillis) {

    public TargetAnnouncement {
        contents = Map.copyOf(contents);
        roles = Set.copyOf(roles);
    }

    /** Returns whether the target serves models. */
    public boolean isEngine() {
        return service.isEmpty() || !roles.isEmpty();
    }

    /** Returns whether the target can serve the model now. */
    public boolean isReadyFor(ModelId model) {
        LoadedModel loaded = contents.get(model);
        return loaded != null && loaded.ready();
    }

    /** Returns the same announcement with another load. */
    public TargetAnnouncement withLoad(Load other) {
        return new TargetAnnouncement(
                id,
                incarnation,
                sequence,
                host,
                port,
                dataCentre,
                service,
                timeToLiveMillis,
                memoryBytes,
                contents,
                roles,
                slots,
                other,
                enforcesFencing,
                leaving,
                softwareVersion,
                coldRemainingMillis);
    }

    /** Returns the same announcement with other contents. */
    public TargetAnnouncement withContents(Map<ModelId, LoadedModel> other) {
        return new TargetAnnouncement(
                id,
                incarnation,
                sequence,
                host,
                port,
                dataCentre,
                service,
                timeToLiveMillis,
                memoryBytes,
                other,
                roles,
                slots,
                load,
                enforcesFencing,
                leaving,
                softwareVersion,
                coldRemainingMillis);
    }

    /**
     * Returns the final announcement of this incarnation, marked as leaving; no other one of the incarnation is newer.
     */
    public TargetAnnouncement asLeaving() {
        return new TargetAnnouncement(
                id,
                incarnation,
                Long.MAX_VALUE,
                host,
                port,
                dataCentre,
                service,
                timeToLiveMillis,
                memoryBytes,
                contents,
                roles,
                slots,
                load,
                enforcesFencing,
                true,
                softwareVersion,
                coldRemainingMillis);
    }

    /**
     * Returns the same announcement with an unconfirmed software version, which differs from that of every other target
     * and incarnation.
     */
    public TargetAnnouncement withUnconfirmedVersion() {
        return new TargetAnnouncement(
                id,
                incarnation,
                sequence,
                host,
                port,
                dataCentre,
                service,
                timeToLiveMillis,
                memoryBytes,
                contents,
                roles,
                slots,
                load,
                enforcesFencing,
                leaving,
                Optional.of(UnconfirmedVersion.of(id, incarnation)),
                coldRemainingMillis);
    }

    /** Returns whether the target may have started again with another software version since this announcement. */
    public boolean hasUnconfirmedVersion() {
        return softwareVersion.filter(UnconfirmedVersion::matches).isPresent();
    }

    /** Returns the same announcement with another sequence number. */
    public TargetAnnouncement withSequence(long other) {
        return new TargetAnnouncement(
                id,
                incarnation,
                other,
                host,
                port,
                dataCentre,
                service,
                timeToLiveMillis,
                memoryBytes,
                contents,
                roles,
                slots,
                load,
                enforcesFencing,
                leaving,
                softwareVersion,
                coldRemainingMillis);
    }

    /** Returns the same announcement with another time until the target is warm. */
    public TargetAnnouncement withColdRemaining(long millis) {
        return new TargetAnnouncement(
                id,
                incarnation,
                sequence,
                host,
                port,
                dataCentre,
                service,
                timeToLiveMillis,
                memoryBytes,
                contents,
                roles,
                slots,
                load,
                enforcesFencing,
                leaving,
                softwareVersion,
                millis);
    }

    /** Returns the same announcement after it has travelled for a while, with less time until the target is warm. */
    public TargetAnnouncement coldAgedBy(Duration age) {
        return coldRemainingMillis <= 0
                ? this
                : withColdRemaining(Math.max(0, coldRemainingMillis - Math.max(0, age.toMillis())));
    }

    /** Returns whether this announcement is newer than another of the same target. */
    public boolean isNewerThan(TargetAnnouncement other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }

    /**
     * Returns whether the departure of an incarnation ends this one too. A departure that is read late must not end the
     * next incarnation of the target.
     *
     * @param departed the incarnation that departs; empty if it is unknown
     */
    public boolean isEndedBy(Optional<Long> departed) {
        return departed.isEmpty() || departed.get() >= incarnation;
    }

    /** Phase of a request that an engine runs. */
    public enum Role {
        PREFILL,
        DECODE
    }

    /** A model or adapter in accelerator memory, and whether it can serve requests now. */
    public record LoadedModel(int version, long memoryBytes, boolean ready) {}

    /**
     * Number of requests that are running and queued at the target.
     *
     * @param slowdown how long work takes at the target at present, relative to the usual time; empty if not stated
     */
    public record Load(int running, int waiting, Optional<Double> slowdown) {
        /** Creates a load of a target that does not state its slowdown. */
        public Load(int running, int waiting) {
            this(running, waiting, Optional.empty());
        }
    }
}
