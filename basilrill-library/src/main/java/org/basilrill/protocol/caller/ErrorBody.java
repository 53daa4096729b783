package org.basilrill.protocol.caller;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.basilrill.api.BasilrillException;

/** Formats failures for callers and operators. Stateless and thread safe. */
public final class ErrorBody {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final String RETRY_AFTER = "retry-after";

    private ErrorBody() {}

    /** Returns the failure as a complete response, with {@code Retry-After} if the delay is known. */
    public static PlainAnswer answer(BasilrillException failure) {
        List<HeaderField> headers = new ArrayList<>();
        failure.retryAfter().ifPresent(delay -> headers.add(new HeaderField(RETRY_AFTER, wholeSeconds(delay))));
        return new PlainAnswer(
                failure.code().httpStatus(),
                PlainAnswer.JSON,
                headers,
                json(failure).toString().getBytes(StandardCharsets.UTF_8));
    }

    /**
     * Returns the failure as a server-sent event. The leading blank line terminates an event that was cut in the
     * middle. The receiver discards the incomplete event or treats it as one that does not end the stream.
     */
    public static byte[] event(BasilrillException failure) {
        return ("\n\nevent: error\ndata: " + json(failure) + "\n\n").getBytes(StandardCharsets.UTF_8);
    }

    /** Returns the failure as a new JSON object, to which fields may be added. */
    public static ObjectNode json(BasilrillException failure) {
        ObjectNode root = MAPPER.createObjectNode();
        ObjectNode error = root.putObject("error");
        error.put("code", failure.code().name());
        error.put("message", failure.getMessage());
        error.put("outcome", failure.outcome().wireName());
        failure.retryAfter().ifPresent(delay -> error.put("retry_after_ms", delay.toMillis()));
        return root;
    }

    /** Rounds up, because {@code Retry-After} has no fractions and an early retry would be rejected again. */
    private static String wholeSeconds(Duration delay) {
        return Long.toString((delay.toMillis() + 999) / 1000);
    }
}
