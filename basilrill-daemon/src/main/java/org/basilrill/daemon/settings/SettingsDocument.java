package org.basilrill.daemon.settings;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.json.JsonReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * The parsed fields of a settings file with their line numbers. Adds the faults that it finds to the list of its
 * reader. Not thread safe; used by one reader.
 */
final class SettingsDocument {
    private static final ObjectMapper MAPPER = new ObjectMapper(JsonFactory.builder()
            .enable(JsonReadFeature.ALLOW_JAVA_COMMENTS)
            .enable(JsonReadFeature.ALLOW_TRAILING_COMMA)
            .build());

    private final Map<String, Field> fields = new LinkedHashMap<>();
    private final List<SettingsFault> faults;

    SettingsDocument(String text, List<SettingsFault> faults) {
        this.faults = faults;
        try (JsonParser parser = MAPPER.getFactory().createParser(text)) {
            readFields(parser);
        } catch (JsonProcessingException exception) {
            int line = exception.getLocation() == null
                    ? 0
                    : exception.getLocation().getLineNr();
            faults.add(new SettingsFault(
                    line, "", SettingsFault.Kind.NOT_JSON, "not valid JSON: " + exception.getOriginalMessage()));
        } catch (IOException exception) {
            throw new IllegalStateException("I/O error while parsing a string", exception);
        }
    }

    /** Removes a field from the document and returns it, or empty if it is absent. */
    Optional<Field> take(String name) {
        return Optional.ofNullable(fields.remove(name));
    }

    /** Removes and returns a required field; adds a fault if it is absent. */
    Optional<Field> require(String name) {
        Optional<Field> field = take(name);
        if (field.isEmpty()) {
            faults.add(new SettingsFault(0, name, SettingsFault.Kind.MISSING_FIELD, "must be present"));
        }
        return field;
    }

    /** Adds a fault for each field that no call has removed, because such a field is unknown. */
    void rejectRemaining() {
        fields.forEach((name, field) -> faults.add(
                new SettingsFault(field.line(), name, SettingsFault.Kind.UNKNOWN_FIELD, "is not a known field")));
    }

    private void readFields(JsonParser parser) throws IOException {
        if (parser.nextToken() != JsonToken.START_OBJECT) {
            faults.add(new SettingsFault(1, "", SettingsFault.Kind.NOT_JSON, "must be a JSON object"));
            return;
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            int line = parser.currentTokenLocation().getLineNr();
            parser.nextToken();
            JsonNode value = MAPPER.readTree(parser);
            if (fields.put(name, new Field(name, line, value)) != null) {
                faults.add(new SettingsFault(line, name, SettingsFault.Kind.DUPLICATE_FIELD, "occurs more than once"));
            }
        }
    }

    /** A top-level field of the file. */
    record Field(String name, int line, JsonNode value) {
        SettingsFault fault(SettingsFault.Kind kind, String detail) {
            return new SettingsFault(line, name, kind, detail);
        }
    }
}
