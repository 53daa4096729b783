package org.basilrill.state.target;

import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;

/**
 * What a target last said about itself. Immutable and thread safe.
 *
 * @param incarnation changes when the target restarts
 * @param sequence increases with each announcement of one incarnation
 * @param host IP number
 * @param service name of the plain service it runs, or of the pool of engines it belongs to
 * @param timeToLiveMillis how long the announcement holds without a newer one
 * @param memoryBytes accelerator memory
 * @param contents models and adapters it holds, with their version
 * @param slots requests it can run at once
 * @param load reported load, which lags
 * @param enforcesFencing whether it refuses orders with an old fencing number
 * @param leaving whether it wants no new work
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
        boolean leaving) {
    public TargetAnnouncement {
        contents = Map.copyOf(contents);
        roles = Set.copyOf(roles);
    }

    /** Returns whether the target runs models. */
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
                leaving);
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
                leaving);
    }

    /** Returns the last announcement of this incarnation: that it leaves. No later one of it is newer. */
    public TargetAnnouncement left() {
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
                true);
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
                leaving);
    }

    /** Returns whether this announcement is newer than another of the same target. */
    public boolean isNewerThan(TargetAnnouncement other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        return sequence > other.sequence;
    }

    /** The part of a request an engine does. */
    public enum Role {
        PREFILL,
        DECODE
    }

    /** One model or adapter in accelerator memory. */
    public record LoadedModel(int version, long memoryBytes, boolean ready) {}

    /** Requests running and waiting at the target. */
    public record Load(int running, int waiting) {}
}
