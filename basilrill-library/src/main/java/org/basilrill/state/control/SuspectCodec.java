package org.basilrill.state.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.thrift.control.SuspectPart;
import org.basilrill.thrift.control.SuspectRequest;
import org.basilrill.thrift.control.ViewMessage;

/** Converts the suspects of a control view to messages and back. Stateless and thread safe. */
final class SuspectCodec {
    private SuspectCodec() {}

    static void addTo(ViewMessage message, List<CrashSuspect> suspects) {
        List<SuspectPart> parts = new ArrayList<>();
        List<SuspectRequest> requests = new ArrayList<>();
        for (CrashSuspect suspect : suspects) {
            if (suspect.id() instanceof PromptPartId part) {
                parts.add(toWire(part, suspect));
            } else {
                requests.add(toWire((RequestFingerprintId) suspect.id(), suspect));
            }
        }
        if (!parts.isEmpty()) {
            message.setSuspectParts(parts);
        }
        if (!requests.isEmpty()) {
            message.setSuspectRequests(requests);
        }
    }

    static List<CrashSuspect> suspects(ViewMessage message) {
        List<CrashSuspect> suspects = new ArrayList<>();
        int group = 0;
        for (SuspectPart part : Optional.ofNullable(message.getSuspectParts()).orElse(List.of())) {
            group = Math.max(group, part.getBlockGroup());
            suspects.add(new CrashSuspect(
                    WireEnums.fromWire(part.getPart()),
                    part.getCrashes(),
                    block(part.isSetBlockMillis(), part.getBlockMillis()),
                    part.getBlockGroup()));
        }
        for (SuspectRequest request : requests(message)) {
            Optional<Duration> block = block(request.isSetBlockMillis(), request.getBlockMillis());
            suspects.add(new CrashSuspect(
                    new RequestFingerprintId(request.getRequest()),
                    request.getCrashes(),
                    block,
                    block.isPresent() ? ++group : 0));
        }
        return suspects;
    }

    /** Returns the blocked requests that are not among the suspects: replicas of an earlier build judge them. */
    static Set<String> fingerprintsWithoutSuspects(ViewMessage message) {
        Set<String> suspects =
                requests(message).stream().map(SuspectRequest::getRequest).collect(Collectors.toUnmodifiableSet());
        return message.getBlockedFingerprints().stream()
                .filter(fingerprint -> !suspects.contains(fingerprint))
                .collect(Collectors.toUnmodifiableSet());
    }

    private static List<SuspectRequest> requests(ViewMessage message) {
        return Optional.ofNullable(message.getSuspectRequests()).orElse(List.of());
    }

    private static SuspectPart toWire(PromptPartId part, CrashSuspect suspect) {
        SuspectPart message = new SuspectPart(WireEnums.toWire(part), suspect.crashes());
        suspect.block().map(Duration::toMillis).ifPresent(message::setBlockMillis);
        message.setBlockGroup(suspect.group());
        return message;
    }

    private static SuspectRequest toWire(RequestFingerprintId request, CrashSuspect suspect) {
        SuspectRequest message = new SuspectRequest(request.value(), suspect.crashes());
        suspect.block().map(Duration::toMillis).ifPresent(message::setBlockMillis);
        return message;
    }

    private static Optional<Duration> block(boolean blocked, long millis) {
        return blocked ? Optional.of(Duration.ofMillis(millis)) : Optional.empty();
    }
}
