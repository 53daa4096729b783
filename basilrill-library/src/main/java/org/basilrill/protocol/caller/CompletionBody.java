package org.basilrill.protocol.caller;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;

/**
 * The fields of a completion request's body that routing and rate limits need. Immutable; the body must not be
 * modified.
 *
 * @param promptTokens tokens of the prompt, estimated from the length of its text
 * @param outputTokens maximum number of tokens that the target may generate, summed over all choices
 * @param prefixHashes hashes of growing prefixes of the prompt, for routing by prefix affinity
 * @param body the body to send to the target; states the maximum output even if the caller did not
 */
public record CompletionBody(
        ModelId model, boolean stream, long promptTokens, long outputTokens, List<Long> prefixHashes, byte[] body) {
    /** Output limit for requests that state none, so that a request never uses more tokens than it was charged. */
    public static final int DEFAULT_OUTPUT_TOKENS = 1024;

    /** Prevents overflow when the tokens of a request are summed for its charge. */
    private static final int MAXIMUM_OUTPUT_TOKENS = 10_000_000;

    private static final int MAXIMUM_CHOICES = 128;
    private static final int MAXIMUM_DEPTH = 64;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAXIMUM_DEPTH)
                    .build())
            .build();

    public CompletionBody {
        prefixHashes = List.copyOf(prefixHashes);
    }

    /**
     * Parses the body with a streaming parser, without building a tree.
     *
     * @throws BasilrillException with {@code MALFORMED_REQUEST} if the body is not a JSON object with a model, and
     *     {@code INVALID_NAME} if the model name is not valid
     */
    public static CompletionBody parse(byte[] body) {
        Reader reader = new Reader();
        Reader.require(!isWideEncoding(body), "the body must be encoded in UTF-8");
        try (JsonParser parser = FACTORY.createParser(body)) {
            reader.read(parser);
        } catch (IOException exception) {
            throw new BasilrillException(
                    ErrorCode.MALFORMED_REQUEST,
                    "the body is not a single JSON object: " + shortMessage(exception),
                    exception);
        }
        return reader.result(body);
    }

    /**
     * Detects UTF-16 and UTF-32, which the parser would accept but into which a field cannot be inserted as ASCII
     * bytes.
     */
    private static boolean isWideEncoding(byte[] body) {
        for (int index = 0; index < Math.min(body.length, 4); index++) {
            if (body[index] == 0 || (body[index] & 0xFE) == 0xFE) {
                return true;
            }
        }
        return false;
    }

    /** Returns the parser's message without its location suffix, which quotes the source. */
    private static String shortMessage(IOException exception) {
        String message = String.valueOf(exception.getMessage());
        int end = message.indexOf('\n');
        return end < 0 ? message : message.substring(0, end);
    }

    /** Collects the relevant fields of one body. Not thread safe. */
    private static final class Reader {
        private final PromptText prompt = new PromptText();
        private String model;
        private boolean stream;
        private int maximumTokens;
        private int choices = 1;

        void read(JsonParser parser) throws IOException {
            require(parser.nextToken() == JsonToken.START_OBJECT, "the body must be a JSON object");
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String field = parser.currentName();
                JsonToken value = parser.nextToken();
                readField(parser, field, value);
            }
            require(parser.nextToken() == null, "the body must end after the JSON object");
        }

        CompletionBody result(byte[] body) {
            require(model != null, "the field \"model\" is missing");
            int tokensPerChoice = maximumTokens > 0 ? maximumTokens : DEFAULT_OUTPUT_TOKENS;
            byte[] forwardedBody = maximumTokens > 0 ? body : withDefaultMaximum(body);
            return new CompletionBody(
                    new ModelId(model),
                    stream,
                    prompt.tokens(),
                    (long) tokensPerChoice * choices,
                    prompt.prefixHashes(),
                    forwardedBody);
        }

        private void readField(JsonParser parser, String field, JsonToken value) throws IOException {
            switch (field) {
                case "model" -> {
                    require(value == JsonToken.VALUE_STRING, "the field \"model\" must be a string");
                    model = parser.getText();
                }
                case "stream" -> {
                    require(
                            value.isBoolean() || value == JsonToken.VALUE_NULL,
                            "the field \"stream\" must be a boolean");
                    stream = value == JsonToken.VALUE_TRUE;
                }
                case "max_tokens", "max_completion_tokens" ->
                    maximumTokens = Math.max(maximumTokens, readCount(parser, field, value, MAXIMUM_OUTPUT_TOKENS));
                case "n", "best_of" -> choices = Math.max(choices, readCount(parser, field, value, MAXIMUM_CHOICES));
                case "messages", "prompt" -> readText(parser, value);
                default -> parser.skipChildren();
            }
        }

        private void readText(JsonParser parser, JsonToken first) throws IOException {
            int depth = 0;
            JsonToken token = first;
            while (true) {
                if (token == JsonToken.VALUE_STRING) {
                    prompt.add(parser.getText());
                } else if (token.isNumeric()) {
                    prompt.addTokenNumber(parser.getText());
                } else if (token.isStructStart()) {
                    depth++;
                } else if (token.isStructEnd()) {
                    depth--;
                }
                if (depth == 0) {
                    return;
                }
                token = parser.nextToken();
                require(token != null, "the body ends unexpectedly");
            }
        }

        private static int readCount(JsonParser parser, String field, JsonToken value, int maximum) throws IOException {
            require(
                    value == JsonToken.VALUE_NUMBER_INT,
                    String.format("the field \"%s\" must be a whole number", field));
            long number = parser.getLongValue();
            require(
                    number >= 1 && number <= maximum,
                    String.format("the field \"%s\" must be from 1 to %d", field, maximum));
            return (int) number;
        }

        /** Inserts the default maximum as the first field. The body must be a JSON object that is not empty. */
        private static byte[] withDefaultMaximum(byte[] body) {
            int brace = 0;
            while (body[brace] != '{') {
                brace++;
            }
            byte[] field = ("\"max_tokens\":" + DEFAULT_OUTPUT_TOKENS + ",").getBytes(StandardCharsets.US_ASCII);
            byte[] forwardedBody = new byte[body.length + field.length];
            System.arraycopy(body, 0, forwardedBody, 0, brace + 1);
            System.arraycopy(field, 0, forwardedBody, brace + 1, field.length);
            System.arraycopy(body, brace + 1, forwardedBody, brace + 1 + field.length, body.length - brace - 1);
            return forwardedBody;
        }

        private static void require(boolean condition, String detail) {
            if (!condition) {
                throw new BasilrillException(ErrorCode.MALFORMED_REQUEST, detail);
            }
        }
    }
}
