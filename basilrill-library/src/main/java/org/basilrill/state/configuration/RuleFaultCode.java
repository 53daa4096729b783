package org.basilrill.state.configuration;

/** Enumerates the faults of a rule file. */
public enum RuleFaultCode {
    /** The line does not end with a comment that names who requested the rule. */
    REQUESTER_MISSING,
    /** The first word of the line is not a rule kind. */
    UNKNOWN_RULE,
    /** The rule kind has no field of this name. */
    UNKNOWN_FIELD,
    /** A required field is absent, or a field has no value. */
    MISSING_VALUE,
    /** A name contains characters that are not allowed. */
    INVALID_NAME,
    /** A value does not have the format of the field. */
    INVALID_VALUE,
    /** A number is outside the range of the field. */
    OUT_OF_RANGE,
    /** A field, a name, a key hash or a rule that may occur once occurs again. */
    DUPLICATE,
    /** The rule names an account or a model that no rule defines. */
    UNKNOWN_REFERENCE,
    /** The sum of a quantity over all rules exceeds the largest representable sum. */
    SUM_TOO_LARGE,
    /** The file exceeds the largest accepted size. */
    FILE_TOO_LARGE
}
