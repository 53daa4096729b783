package org.basilrill.protocol.peer;

import java.time.Duration;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.membership.Fact;
import org.basilrill.coordination.membership.RelayAccess;
import org.basilrill.state.target.ColdRemaining;
import org.basilrill.state.target.RestartSuspicion;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.thrift.membership.BlockedRequestFact;
import org.basilrill.thrift.membership.FactPayload;
import org.basilrill.thrift.membership.FormatLevelFact;
import org.basilrill.thrift.membership.InstanceFact;
import org.basilrill.thrift.membership.InstanceLoadFact;
import org.basilrill.thrift.membership.LoadedModelFact;
import org.basilrill.thrift.membership.RestartSuspicionsFact;
import org.basilrill.thrift.membership.TargetContentFact;
import org.basilrill.thrift.membership.TargetFact;
import org.basilrill.thrift.membership.TargetGoneFact;
import org.basilrill.thrift.membership.TargetLoadFact;

/** Encodes and decodes the facts that instances exchange by gossip. Stateless and thread safe. */
final class FactCodec {
    /** Initial load of a decoded announcement. The actual load is sent as a separate fact. */
    private static final TargetAnnouncement.Load NO_LOAD = new TargetAnnouncement.Load(0, 0);

    private static final int MAXIMUM_PORT = 65_535;

    /** Bounds what a wrong message can do; longer than any announcement is valid. */
    private static final Duration MAXIMUM_SUSPICION = Duration.ofMinutes(1);

    private FactCodec() {}

    static FactPayload encode(Fact fact) {
        if (fact instanceof Fact.InstanceFact instance) {
            InstanceFact message = new InstanceFact(
                    instance.dataCentre(),
                    instance.callerAddress(),
                    instance.peerAddress(),
                    instance.draining(),
                    instance.current(),
                    instance.revision());
            message.setReplica(instance.replica());
            message.setCutFromTargets(instance.cutFromTargets());
            message.setForwardsMessages(instance.forwardsMessages());
            instance.relay()
                    .ifPresent(relay -> message.setRelayAddress(relay.address()).setRelayToken(relay.token()));
            return FactPayload.instance(message);
        }
        if (fact instanceof Fact.InstanceLoadFact load) {
            return FactPayload.instanceLoad(new InstanceLoadFact(load.requestsInFlight()));
        }
        if (fact instanceof Fact.TargetFact target) {
            return FactPayload.target(encodeTarget(target.announcement()));
        }
        if (fact instanceof Fact.TargetLoadFact load) {
            return FactPayload.targetLoad(new TargetLoadFact(
                    load.target().value(), load.load().running(), load.load().waiting()));
        }
        if (fact instanceof Fact.BlockedRequestFact blocked) {
            return FactPayload.blockedRequest(new BlockedRequestFact(blocked.fingerprint()));
        }
        if (fact instanceof Fact.TargetContentFact content) {
            return FactPayload.targetContent(new TargetContentFact(
                    content.target().value(),
                    content.incarnation(),
                    content.model().value(),
                    content.present()));
        }
        if (fact instanceof Fact.RestartSuspicionsFact restarts) {
            return FactPayload.restartSuspicions(new RestartSuspicionsFact()
                    .setSuspicions(restarts.suspicions().stream()
                            .map(FactCodec::encodeSuspicion)
                            .toList()));
        }
        if (fact instanceof Fact.FormatLevelFact level) {
            return FactPayload.formatLevel(new FormatLevelFact(level.level()));
        }
        Fact.TargetGoneFact gone = (Fact.TargetGoneFact) fact;
        return FactPayload.targetGone(new TargetGoneFact(gone.target().value()));
    }

    static Fact decode(FactPayload payload) {
        if (payload.isSetInstance()) {
            InstanceFact instance = payload.getInstance();
            return new Fact.InstanceFact(
                    instance.getDataCentre(),
                    instance.getCallerAddress(),
                    instance.getPeerAddress(),
                    instance.isDraining(),
                    instance.isCurrent(),
                    instance.getRevision(),
                    instance.isReplica(),
                    relayOf(instance),
                    instance.isCutFromTargets(),
                    instance.isForwardsMessages());
        }
        if (payload.isSetInstanceLoad()) {
            return new Fact.InstanceLoadFact(payload.getInstanceLoad().getRequestsInFlight());
        }
        if (payload.isSetTarget()) {
            return new Fact.TargetFact(decodeTarget(payload.getTarget()));
        }
        if (payload.isSetTargetLoad()) {
            TargetLoadFact load = payload.getTargetLoad();
            return new Fact.TargetLoadFact(
                    new TargetId(load.getTarget()), new TargetAnnouncement.Load(load.getRunning(), load.getWaiting()));
        }
        if (payload.isSetTargetGone()) {
            return new Fact.TargetGoneFact(new TargetId(payload.getTargetGone().getTarget()));
        }
        if (payload.isSetTargetContent()) {
            TargetContentFact content = payload.getTargetContent();
            return new Fact.TargetContentFact(
                    new TargetId(content.getTarget()),
                    content.getIncarnation(),
                    new ModelId(content.getModel()),
                    content.isPresent());
        }
        if (payload.isSetBlockedRequest()) {
            return new Fact.BlockedRequestFact(payload.getBlockedRequest().getFingerprint());
        }
        if (payload.isSetRestartSuspicions()) {
            return new Fact.RestartSuspicionsFact(decodeSuspicions(payload.getRestartSuspicions()));
        }
        if (payload.isSetFormatLevel()) {
            return new Fact.FormatLevelFact(payload.getFormatLevel().getLevel());
        }
        throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "fact of an unknown type");
    }

    private static org.basilrill.thrift.membership.RestartSuspicion encodeSuspicion(RestartSuspicion suspicion) {
        return new org.basilrill.thrift.membership.RestartSuspicion()
                .setTarget(suspicion.target().value())
                .setIncarnation(suspicion.incarnation())
                .setValidMillis(suspicion.validity().toMillis());
    }

    private static List<RestartSuspicion> decodeSuspicions(RestartSuspicionsFact fact) {
        if (!fact.isSetSuspicions()) {
            return List.of();
        }
        return fact.getSuspicions().stream()
                .filter(suspicion -> suspicion.isSetTarget() && suspicion.isSetIncarnation())
                .map(FactCodec::decodeSuspicion)
                .toList();
    }

    private static RestartSuspicion decodeSuspicion(org.basilrill.thrift.membership.RestartSuspicion suspicion) {
        long validMillis = Math.max(0, Math.min(suspicion.getValidMillis(), MAXIMUM_SUSPICION.toMillis()));
        return new RestartSuspicion(
                new TargetId(suspicion.getTarget()), suspicion.getIncarnation(), Duration.ofMillis(validMillis));
    }

    private static Optional<RelayAccess> relayOf(InstanceFact instance) {
        return instance.isSetRelayAddress() && instance.isSetRelayToken()
                ? Optional.of(new RelayAccess(instance.getRelayAddress(), instance.getRelayToken()))
                : Optional.empty();
    }

    private static TargetFact encodeTarget(TargetAnnouncement announcement) {
        List<LoadedModelFact> contents = announcement.contents().entrySet().stream()
                .map(entry -> new LoadedModelFact(
                        entry.getKey().value(),
                        entry.getValue().version(),
                        entry.getValue().memoryBytes(),
                        entry.getValue().ready()))
                .toList();
        TargetFact fact = new TargetFact(
                announcement.id().value(),
                announcement.incarnation(),
                announcement.sequence(),
                announcement.host(),
                announcement.port(),
                announcement.dataCentre(),
                announcement.timeToLiveMillis(),
                announcement.memoryBytes(),
                contents,
                encodeRoles(announcement.roles()),
                announcement.slots(),
                announcement.enforcesFencing(),
                announcement.leaving());
        announcement.service().ifPresent(fact::setServiceName);
        // An unconfirmed version is a conclusion of this instance; others would register it as a version of the
        // service.
        if (!announcement.hasUnconfirmedVersion()) {
            announcement.softwareVersion().ifPresent(fact::setSoftwareVersion);
        }
        if (announcement.coldRemainingMillis() > 0) {
            fact.setColdRemainingMillis(announcement.coldRemainingMillis());
        }
        return fact;
    }

    private static TargetAnnouncement decodeTarget(TargetFact fact) {
        if (fact.getPort() < 1 || fact.getPort() > MAXIMUM_PORT || fact.getSlots() < 0) {
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "announcement with an invalid port or slots");
        }
        Map<ModelId, TargetAnnouncement.LoadedModel> contents = new HashMap<>();
        for (LoadedModelFact model : fact.getContents()) {
            contents.put(
                    new ModelId(model.getModel()),
                    new TargetAnnouncement.LoadedModel(model.getVersion(), model.getMemoryBytes(), model.isReady()));
        }
        return new TargetAnnouncement(
                new TargetId(fact.getTarget()),
                fact.getIncarnation(),
                fact.getSequence(),
                fact.getHost(),
                fact.getPort(),
                fact.getDataCentre(),
                Optional.ofNullable(fact.getServiceName()),
                fact.getTimeToLiveMillis(),
                fact.getMemoryBytes(),
                contents,
                decodeRoles(fact.getRoles()),
                fact.getSlots(),
                NO_LOAD,
                fact.isEnforcesFencing(),
                fact.isLeaving(),
                Optional.ofNullable(fact.getSoftwareVersion()),
                Math.max(0, ColdRemaining.of(fact.getColdRemainingMillis())));
    }

    /** Encodes roles as a bit set indexed by the ordinal of the role. */
    private static int encodeRoles(Set<TargetAnnouncement.Role> roles) {
        return roles.stream().mapToInt(role -> 1 << role.ordinal()).sum();
    }

    private static Set<TargetAnnouncement.Role> decodeRoles(int bits) {
        Set<TargetAnnouncement.Role> roles = EnumSet.noneOf(TargetAnnouncement.Role.class);
        for (TargetAnnouncement.Role role : TargetAnnouncement.Role.values()) {
            if ((bits & (1 << role.ordinal())) != 0) {
                roles.add(role);
            }
        }
        return roles;
    }
}
