package org.basilrill.daemon.settings;

/**
 * One fault in a settings file. Immutable and thread safe.
 *
 * @param line line number, starting at 1; 0 if the fault concerns the whole file
 * @param field path of the field, empty if the fault concerns no single field
 */
public record SettingsFault(int line, String field, Kind kind, String detail) {
    /** Describes the fault on one line, in the form {@code file:line: field "x": detail}. */
    public String describe(String file) {
        String location = line > 0 ? file + ":" + line : file;
        String fieldPrefix = field.isEmpty() ? "" : "field \"" + field + "\": ";
        return location + ": " + fieldPrefix + detail;
    }

    /** What is wrong with a field or with the file. */
    public enum Kind {
        NOT_JSON,
        UNKNOWN_FIELD,
        DUPLICATE_FIELD,
        MISSING_FIELD,
        WRONG_TYPE,
        INVALID_VALUE,
        CONTRADICTION
    }
}
