package org.basilrill.state.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Stream;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.configuration.RulesFormat;
import org.basilrill.state.configuration.RulesParser;
import org.basilrill.state.control.ControlView.BucketOwner;
import org.basilrill.thrift.control.BucketState;
import org.basilrill.thrift.control.EvacuationState;
import org.basilrill.thrift.control.SessionState;
import org.basilrill.thrift.control.ViewMessage;

/** Converts control views to messages and back. Rules are sent as their text. Stateless and thread safe. */
public final class ViewCodec {
    private ViewCodec() {}

    /**
     * Returns the message that carries a view.
     *
     * @param rulesText text of the rules in the view
     * @param knownRevision revision that the recipient has; the text is omitted if it is the revision of the view
     */
    public static ViewMessage toMessage(ControlView view, String rulesText, long knownRevision) {
        ViewMessage message = new ViewMessage(
                view.index(),
                view.rules().revision(),
                buckets(view.bucketOwners()),
                blockedFingerprints(view),
                sessions(view.sessions()));
        SuspectCodec.addTo(message, view.suspects());
        if (!view.serviceVersions().isEmpty()) {
            message.setServiceVersions(
                    view.serviceVersions().stream().map(ViewCodec::toWire).toList());
        }
        if (!view.evacuatedDataCentres().isEmpty()) {
            message.setEvacuations(evacuations(view.evacuatedDataCentres()));
        }
        if (!view.endedEvacuations().isEmpty()) {
            message.setEndedEvacuations(evacuations(view.endedEvacuations()));
        }
        if (view.rules().revision() != knownRevision) {
            message.setRulesText(rulesText);
        }
        return message;
    }

    /**
     * Returns the view of a message.
     *
     * @param knownRules rules that the recipient has, used if the message omits the text
     * @throws BasilrillException with {@code MESSAGE_MALFORMED} if the text cannot be parsed, or if it is omitted and
     *     the revision is not that of the given rules
     */
    public static ControlView fromMessage(ViewMessage message, Rules knownRules) {
        return fromMessage(message, knownRules, RulesParser::parse);
    }

    /** Returns the view of a message whose rules are in the given format; see {@link #fromMessage}. */
    public static ControlView fromMessage(ViewMessage message, Rules knownRules, RulesFormat format) {
        Map<AccountId, BucketOwner> owners = new HashMap<>();
        for (BucketState bucket : message.getBuckets()) {
            BucketOwner owner = new BucketOwner(
                    new InstanceId(bucket.getOwner()),
                    bucket.getSessionId(),
                    bucket.getEpoch(),
                    bucket.getStartTokens());
            owners.put(new AccountId(bucket.getAccount()), owner);
        }
        Map<InstanceId, Long> sessions = new HashMap<>();
        for (SessionState session : message.getSessions()) {
            sessions.put(new InstanceId(session.getInstance()), session.getSessionId());
        }
        return new ControlView(
                message.getIndex(),
                rules(message, knownRules, format),
                owners,
                SuspectCodec.fingerprintsWithoutSuspects(message),
                sessions,
                SuspectCodec.suspects(message),
                Optional.ofNullable(message.getServiceVersions()).orElse(List.of()).stream()
                        .map(ViewCodec::fromWire)
                        .toList(),
                evacuations(Optional.ofNullable(message.getEvacuations()).orElse(List.of())),
                evacuations(Optional.ofNullable(message.getEndedEvacuations()).orElse(List.of())));
    }

    /** Returns all blocked requests: instances of earlier builds know those that are suspects only from this list. */
    private static List<String> blockedFingerprints(ControlView view) {
        return Stream.concat(
                        view.blockedFingerprints().stream(),
                        view.suspects().stream()
                                .filter(suspect -> suspect.blocked() && suspect.id() instanceof RequestFingerprintId)
                                .map(suspect -> suspect.id().toString()))
                .distinct()
                .sorted()
                .toList();
    }

    static List<BucketState> buckets(Map<AccountId, BucketOwner> owners) {
        return owners.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> new BucketState(
                        entry.getKey().value(),
                        entry.getValue().owner().value(),
                        entry.getValue().sessionId(),
                        entry.getValue().epoch(),
                        entry.getValue().startTokens()))
                .toList();
    }

    static List<SessionState> sessions(Map<InstanceId, Long> sessions) {
        return sessions.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> new SessionState(entry.getKey().value(), entry.getValue()))
                .toList();
    }

    static List<EvacuationState> evacuations(Map<String, Long> indexes) {
        return indexes.entrySet().stream()
                .sorted(Map.Entry.comparingByKey())
                .map(entry -> new EvacuationState(entry.getKey(), entry.getValue()))
                .toList();
    }

    static Map<String, Long> evacuations(List<EvacuationState> state) {
        Map<String, Long> indexes = new HashMap<>();
        state.forEach(evacuation -> indexes.put(evacuation.getDataCentre(), evacuation.getIndex()));
        return indexes;
    }

    private static org.basilrill.thrift.control.ServiceVersions toWire(ServiceVersions versions) {
        return new org.basilrill.thrift.control.ServiceVersions(
                versions.service(), versions.inService().stream().sorted().toList(), versions.several());
    }

    private static ServiceVersions fromWire(org.basilrill.thrift.control.ServiceVersions message) {
        return new ServiceVersions(message.getServiceName(), Set.copyOf(message.getInService()), message.isSeveral());
    }

    private static Rules rules(ViewMessage message, Rules knownRules, RulesFormat format) {
        if (message.getRulesRevision() == 0) {
            return Rules.empty();
        }
        if (message.isSetRulesText()) {
            return format.parse(message.getRulesText(), message.getRulesRevision())
                    .rules()
                    .orElseThrow(() -> new BasilrillException(
                            ErrorCode.MESSAGE_MALFORMED,
                            "rules of revision " + message.getRulesRevision() + " cannot be parsed"));
        }
        if (knownRules.revision() != message.getRulesRevision()) {
            throw new BasilrillException(
                    ErrorCode.MESSAGE_MALFORMED, "the view omits rules that this instance does not have");
        }
        return knownRules;
    }
}
