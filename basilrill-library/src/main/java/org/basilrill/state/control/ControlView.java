package org.basilrill.state.control;

import java.util.List;
import java.util.Map;
import java.util.Set;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.state.configuration.Rules;

/**
 * The part of the control state that is distributed to every instance. Immutable and thread safe.
 *
 * @param index log index of the state; increases with every change
 * @param bucketOwners owner of each client account's token bucket
 * @param blockedFingerprints requests that are refused as long as replicas of an earlier build judge them
 * @param sessions open sessions by instance
 * @param suspects requests and prompt parts that were at crashed targets, in the order of their last change
 * @param serviceVersions software versions by service, ordered by name
 * @param evacuatedDataCentres log index of the begin of the evacuation, by data centre whose targets get no requests
 * @param endedEvacuations log index of the end of the last evacuation, by data centre that is not evacuated any more
 */
public record ControlView(
        long index,
        Rules rules,
        Map<AccountId, BucketOwner> bucketOwners,
        Set<String> blockedFingerprints,
        Map<InstanceId, Long> sessions,
        List<CrashSuspect> suspects,
        List<ServiceVersions> serviceVersions,
        Map<String, Long> evacuatedDataCentres,
        Map<String, Long> endedEvacuations) {
    public ControlView {
        bucketOwners = Map.copyOf(bucketOwners);
        blockedFingerprints = Set.copyOf(blockedFingerprints);
        sessions = Map.copyOf(sessions);
        suspects = List.copyOf(suspects);
        serviceVersions = List.copyOf(serviceVersions);
        evacuatedDataCentres = Map.copyOf(evacuatedDataCentres);
        endedEvacuations = Map.copyOf(endedEvacuations);
    }

    /** Creates a view in which no data centre was ever evacuated. */
    public ControlView(
            long index,
            Rules rules,
            Map<AccountId, BucketOwner> bucketOwners,
            Set<String> blockedFingerprints,
            Map<InstanceId, Long> sessions,
            List<CrashSuspect> suspects,
            List<ServiceVersions> serviceVersions) {
        this(index, rules, bucketOwners, blockedFingerprints, sessions, suspects, serviceVersions, Map.of(), Map.of());
    }

    /** Creates a view without suspects and software versions. */
    public ControlView(
            long index,
            Rules rules,
            Map<AccountId, BucketOwner> bucketOwners,
            Set<String> blockedFingerprints,
            Map<InstanceId, Long> sessions) {
        this(index, rules, bucketOwners, blockedFingerprints, sessions, List.of(), List.of());
    }

    /** Returns the view used until the first one is received from the log. */
    public static ControlView empty() {
        return new ControlView(0, Rules.empty(), Map.of(), Set.of(), Map.of());
    }

    /**
     * Owner of a token bucket.
     *
     * @param epoch increases with each change of the owner
     * @param startTokens level that the owner starts from; 0 after the previous owner was lost
     */
    public record BucketOwner(InstanceId owner, long sessionId, long epoch, long startTokens) {}
}
