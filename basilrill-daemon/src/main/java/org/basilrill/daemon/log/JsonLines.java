package org.basilrill.daemon.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Formats log records as JSON objects, one per line. Stateless and thread safe. */
final class JsonLines {
    /** Message of an event: its number, its summary and optional details, as text or as a JSON object. */
    private static final Pattern EVENT = Pattern.compile("E([0-9]+) ([^:{]*)(?:: (.*))?", Pattern.DOTALL);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonLines() {}

    /** Returns the event number of the record, or 0 if its message has none. */
    static int eventNumber(LogRecord logRecord) {
        Matcher matcher = EVENT.matcher(String.valueOf(logRecord.getMessage()));
        return matcher.matches() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    static String line(LogRecord logRecord) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", Instant.ofEpochMilli(logRecord.getMillis()).toString());
        line.put("level", logRecord.getLevel().getName());
        Matcher matcher = EVENT.matcher(String.valueOf(logRecord.getMessage()));
        if (!matcher.matches()) {
            line.put("detail", String.valueOf(logRecord.getMessage()));
        } else {
            line.put("event", Integer.parseInt(matcher.group(1)));
            line.put("what", matcher.group(2).trim());
            addDetail(line, matcher.group(3));
        }
        if (logRecord.getThrown() != null) {
            line.put("cause", String.valueOf(logRecord.getThrown()));
        }
        return line.toString();
    }

    /** Returns the line that reports how many records of an event were omitted. */
    static String omitted(Instant time, int event, long count) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", time.toString());
        line.put("event", event);
        line.put("omitted", count);
        return line.toString();
    }

    private static void addDetail(ObjectNode line, String detail) {
        if (detail == null) {
            return;
        }
        if (detail.startsWith("{")) {
            try {
                JsonNode data = MAPPER.readTree(detail);
                line.set("data", data);
                return;
            } catch (JsonProcessingException exception) {
                // The detail is text that starts with a brace, not JSON; it is written as text.
            }
        }
        line.put("detail", detail);
    }
}
