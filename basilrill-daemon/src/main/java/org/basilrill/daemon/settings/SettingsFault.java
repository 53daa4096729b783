package org.basilrill.daemon.settings;

/**
 * One fault in a settings file. Immutable and thread safe.
 *
 * @param line line number from 1; 0 if the fault concerns the whole file
 * @param field path of the field, empty if the fault concerns no single field
 */
public record SettingsFault(int line, String field, Kind kind, String detail) {
    /** Returns the fault as one line, in the form {@code file:line: field "x": detail}. */
    public String describe(String file) {
        String place = line > 0 ? file + ":" + line : file;
        String subject = field.isEmpty() ? "" : "field \"" + field + "\": ";
        return place + ": " + subject + detail;
    }

    /** The type of a fault. */
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
