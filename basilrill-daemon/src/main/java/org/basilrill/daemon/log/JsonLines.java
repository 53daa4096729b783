package org.basilrill.daemon.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Instant;
import java.util.logging.LogRecord;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Writes log records as JSON objects, one on a line. Stateless and thread safe. */
final class JsonLines {
    /** Number and summary of a catalogued event, and what else is known, as text or as a JSON object. */
    private static final Pattern EVENT = Pattern.compile("E([0-9]+) ([^:{]*)(?:: (.*))?", Pattern.DOTALL);

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private JsonLines() {}

    /** Returns the number of the record's event; 0 if it has none. */
    static int eventOf(LogRecord entry) {
        Matcher matcher = EVENT.matcher(String.valueOf(entry.getMessage()));
        return matcher.matches() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    static String line(LogRecord entry) {
        ObjectNode line = MAPPER.createObjectNode();
        line.put("time", Instant.ofEpochMilli(entry.getMillis()).toString());
        line.put("level", entry.getLevel().getName());
        Matcher matcher = EVENT.matcher(String.valueOf(entry.getMessage()));
        if (!matcher.matches()) {
            line.put("detail", String.valueOf(entry.getMessage()));
        } else {
            line.put("event", Integer.parseInt(matcher.group(1)));
            line.put("what", matcher.group(2).trim());
            addDetail(line, matcher.group(3));
        }
        if (entry.getThrown() != null) {
            line.put("cause", String.valueOf(entry.getThrown()));
        }
        return line.toString();
    }

    /** Returns the line that says how many records of an event were left out. */
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
                // The detail is text that begins with a brace.
            }
        }
        line.put("detail", detail);
    }
}
