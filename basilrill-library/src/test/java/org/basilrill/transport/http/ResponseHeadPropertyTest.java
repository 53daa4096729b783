package org.basilrill.transport.http;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.lifecycle.AfterContainer;
import net.jqwik.api.lifecycle.BeforeContainer;
import org.basilrill.protocol.caller.ResponseHead;

/**
 * Spoils one byte of the head of a sound response. Guards against an invalid head that is delivered, and against a
 * valid one that is not. The grammar is that of RFC 9110 and 9112, with the lone line feed that they allow as the end
 * of a line, a status line that may end after the status, and without folded lines.
 */
class ResponseHeadPropertyTest {
    private static final List<String> SOUND_HEADS = List.of(
            "HTTP/1.1 200 OK\r\nContent-Length: 05\r\nX-A: v\r\n\r\n",
            "HTTP/1.1 200 OK\r\nX-A: a \u00e9\r\nX-Request-Id: 17\r\nTransfer-Encoding: chunked\r\n\r\n",
            "HTTP/1.0 201 \r\nContent-Type: text/event-stream\r\nX-A:\r\n\r\n",
            "HTTP/1.1 200 OK\nServer: x/1.0 (y)\ncontent-length:  005 \n\n",
            "HTTP/1.1 204 No Content\r\nETag: \"a\"\r\n\r\n",
            "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 05\r\n\r\n");

    private static final AtomicReference<String> RESPONSE = new AtomicReference<>();
    private static RawTarget target;
    private static ClientFixture client;

    @BeforeContainer
    static void open() throws Exception {
        target = ClientFixture.target(RESPONSE, false);
        client = new ClientFixture();
    }

    @AfterContainer
    static void close() throws Exception {
        client.close();
        target.close();
    }

    /** All bytes, those that separate the parts of a head more often. */
    @Provide
    Arbitrary<Integer> bytes() {
        return Arbitraries.oneOf(
                Arbitraries.integers().between(0, 255),
                Arbitraries.of("\0\t\n\r +-:;,09\u007f".chars().boxed().toList()));
    }

    @Property(seed = "20261206", tries = 4000)
    void exactlyTheValidHeadsAreDelivered(
            @ForAll @IntRange(max = 5) int head, @ForAll @IntRange(max = 999) int position, @ForAll("bytes") int spoilt)
            throws Exception {
        StringBuilder response = new StringBuilder(SOUND_HEADS.get(head)).append("5\r\nhello\r\n0\r\n\r\n");
        response.setCharAt(position % SOUND_HEADS.get(head).length(), (char) spoilt);
        RESPONSE.set(response.toString());
        RelayFixture.Response received = client.send(target, ConnectionPurpose.SINGLE);
        assertThat(received.head().map(ResponseHead::status), is(Grammar.statusOfFinalHead(RESPONSE.get())));
    }

    /** Says which responses begin with valid heads. Written from the standard, apart from the code under test. */
    private static final class Grammar {
        private static final Pattern STATUS_LINE =
                Pattern.compile("HTTP/1\\.[0-9] ([1-5][0-9]{2})( [\\t\\x20-\\x7e\\x80-\\xff]*)?");
        private static final Pattern FIELD_LINE = Pattern.compile(
                "([!#$%&'*+\\-.^_`|~0-9A-Za-z]+):[ \\t]*([\\x21-\\x7e\\x80-\\xff]([\\t\\x20-\\x7e\\x80-\\xff]*"
                        + "[\\x21-\\x7e\\x80-\\xff])?)?[ \\t]*");

        /** Returns the status of the first head that is not an interim one; empty if a head up to it is invalid. */
        static Optional<Integer> statusOfFinalHead(String response) {
            List<String> lines = new ArrayList<>(List.of(response.split("\r?\n", -1)));
            lines.remove(lines.size() - 1);
            while (true) {
                int end = lines.indexOf("");
                if (end < 1) {
                    return Optional.empty();
                }
                Matcher status = STATUS_LINE.matcher(lines.get(0));
                if (!status.matches() || !areValid(lines.subList(1, end), status.group(1))) {
                    return Optional.empty();
                }
                if (!status.group(1).startsWith("1")) {
                    return Optional.of(Integer.parseInt(status.group(1)));
                }
                lines = lines.subList(end + 1, lines.size());
            }
        }

        private static boolean areValid(List<String> lines, String status) {
            List<String> lengths = new ArrayList<>();
            List<String> codings = new ArrayList<>();
            for (String line : lines) {
                Matcher field = FIELD_LINE.matcher(line);
                if (!field.matches()) {
                    return false;
                }
                String value = Optional.ofNullable(field.group(2)).orElse("");
                switch (field.group(1).toLowerCase(Locale.ROOT)) {
                    case "content-length" -> lengths.add(value);
                    case "transfer-encoding" -> codings.add(value);
                    default -> {
                        // Other fields do not state the length of the body.
                    }
                }
            }
            boolean mayStateBody = !status.startsWith("1") && !status.equals("204");
            return lengths.size() + codings.size() <= 1
                    && lengths.stream().allMatch(length -> length.matches(mayStateBody ? "[0-9]+" : "0+"))
                    && codings.stream().allMatch(coding -> mayStateBody && coding.equalsIgnoreCase("chunked"));
        }
    }
}
