package org.basilrill.state.control;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.Outcome;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.SuspectId;
import org.basilrill.thrift.control.AnswerBody;
import org.basilrill.thrift.control.PromptPart;
import org.basilrill.thrift.control.RequestOutcome;
import org.basilrill.thrift.control.Suspect;
import org.basilrill.thrift.control.TargetOrderKind;
import org.basilrill.thrift.control.TargetOrderOutcome;

/**
 * Converts the enums, recorded responses and suspects of the control log to Thrift types and back. Stateless and
 * thread safe.
 */
public final class WireEnums {
    private WireEnums() {}

    public static TargetOrderKind toWire(OrderKind kind) {
        return TargetOrderKind.valueOf(kind.name());
    }

    public static OrderKind fromWire(TargetOrderKind kind) {
        return OrderKind.valueOf(kind.name());
    }

    public static TargetOrderOutcome toWire(OrderOutcome outcome) {
        return TargetOrderOutcome.valueOf(outcome.name());
    }

    public static OrderOutcome fromWire(TargetOrderOutcome outcome) {
        return OrderOutcome.valueOf(outcome.name());
    }

    static RequestOutcome toWire(Outcome outcome) {
        return RequestOutcome.valueOf(outcome.name());
    }

    static Outcome fromWire(RequestOutcome outcome) {
        return Outcome.valueOf(outcome.name());
    }

    static PromptPart toWire(PromptPartId part) {
        return new PromptPart(part.scope(), part.value());
    }

    static PromptPartId fromWire(PromptPart part) {
        return new PromptPartId(part.getScope(), part.getValue());
    }

    static Suspect toWire(SuspectId suspect) {
        return suspect instanceof PromptPartId part
                ? Suspect.part(toWire(part))
                : Suspect.request(((RequestFingerprintId) suspect).value());
    }

    /** Returns the suspect; empty if it is of a kind that only a later build knows. */
    static Optional<SuspectId> fromWire(Suspect suspect) {
        if (suspect.isSetPart()) {
            return Optional.of(fromWire(suspect.getPart()));
        }
        return suspect.isSetRequest() ? Optional.of(new RequestFingerprintId(suspect.getRequest())) : Optional.empty();
    }

    static List<SuspectId> fromWire(List<Suspect> suspects) {
        return suspects.stream()
                .map(WireEnums::fromWire)
                .flatMap(Optional::stream)
                .toList();
    }

    static AnswerBody toWire(RecordedResponse response) {
        return new AnswerBody(
                response.status(), response.contentType(), ByteBuffer.wrap(response.body()), response.complete());
    }

    static Optional<RecordedResponse> fromWire(AnswerBody response) {
        return Optional.ofNullable(response)
                .map(body -> new RecordedResponse(
                        body.getStatus(), body.getContentType(), body.getBody(), body.isComplete()));
    }
}
