package org.basilrill.protocol.instance;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ModelId;
import org.basilrill.protocol.caller.ErrorBody;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.dialect.CallRequest;
import org.basilrill.protocol.dialect.CallRequest.PromptPart;
import org.basilrill.protocol.dialect.CallRequest.StreamResumption;
import org.basilrill.protocol.dialect.CallerDialect;
import org.basilrill.protocol.dialect.RequestMessages;
import org.basilrill.protocol.dialect.TargetCall;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement.Load;

/** A minimal dialect for tests of routed requests. Stateless and thread safe. */
final class StubDialect implements CallerDialect {
    static final String LAST_EVENT = "x-last-event";
    static final String FIRST_REQUEST = "x-first-request";
    static final String PROMPT_PARTS = "x-prompt-parts";
    static final String RAN_NOTHING = "x-ran-nothing";
    /** Content type of responses without a signature. */
    static final String UNSIGNED = "application/unsigned";

    private static final int MISDIRECTED = 421;

    @Override
    public CallRequest read(RequestHead head) {
        return new CallRequest(
                head,
                head.header(RequestHead.REQUEST_ID).orElse("none"),
                head.header("host").orElse(""),
                head.key(),
                Optional.empty(),
                head.header("x-model").map(ModelId::new),
                Optional.empty(),
                promptParts(head),
                head.header(LAST_EVENT).map(event -> new StreamResumption(event, head.header(FIRST_REQUEST))));
    }

    private static List<PromptPart> promptParts(RequestHead head) {
        return head.header(PROMPT_PARTS).stream()
                .flatMap(parts -> Arrays.stream(parts.split(",")))
                .map(part -> new PromptPart(Long.parseLong(part), 100))
                .toList();
    }

    @Override
    public RequestMessages messages(CallRequest request) {
        return new Messages(request);
    }

    @Override
    public PlainResponse errorResponse(BasilrillException failure) {
        return ErrorBody.response(failure);
    }

    /** Messages of one request. */
    private record Messages(CallRequest request) implements RequestMessages {
        @Override
        public List<HeaderField> targetHeaders(TargetCall call) {
            List<HeaderField> fields = new ArrayList<>();
            fields.add(new HeaderField(RequestHead.REQUEST_ID, request.requestId()));
            call.lastEventId().ifPresent(id -> fields.add(new HeaderField(LAST_EVENT, id)));
            return fields;
        }

        @Override
        public List<HeaderField> callerHeaders(List<HeaderField> headers) {
            return headers;
        }

        @Override
        public Optional<String> requestId(ResponseHead response) {
            return response.header(RequestHead.REQUEST_ID);
        }

        @Override
        public boolean reportsNotRun(ResponseHead response) {
            return reportsMisdirected(response) || response.header(RAN_NOTHING).isPresent();
        }

        @Override
        public boolean reportsMisdirected(ResponseHead response) {
            return response.status() == MISDIRECTED;
        }

        @Override
        public boolean isUnsigned(ResponseHead response) {
            return response.header(ResponseHead.CONTENT_TYPE)
                    .filter(UNSIGNED::equals)
                    .isPresent();
        }

        @Override
        public Optional<Load> load(ResponseHead response) {
            return Optional.empty();
        }

        @Override
        public Optional<RequestRate> requestRate(ResponseHead response) {
            return response.header(ResponseHead.REQUEST_RATE_LIMIT).flatMap(RequestRate::parse);
        }

        @Override
        public Optional<byte[]> failureEvent(BasilrillException failure) {
            return Optional.empty();
        }
    }
}
