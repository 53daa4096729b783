package org.basilrill.state.configuration;

import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;

/** Reads methods, paths and service names of rule files. Stateless and thread safe. */
final class RouteReader {
    private static final Set<String> METHODS = Set.of("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS");
    /** An absolute path without a query; a wildcard is allowed at the end only. */
    private static final Pattern PATH = Pattern.compile("/[A-Za-z0-9._~!$&'()+,;=:@%/-]*\\*?");

    private static final Pattern SERVICE = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,127}");

    private RouteReader() {}

    /** Reads a method and a path; records a fault and returns empty if one is absent or wrong. */
    static Optional<Rules.RoutePattern> read(RuleLine line) {
        Optional<String> method = line.next("method");
        Optional<String> path = line.next("path");
        if (method.isEmpty() || path.isEmpty()) {
            return Optional.empty();
        }
        boolean valid = true;
        if (!METHODS.contains(method.get())) {
            line.fault("method", RuleFaultCode.INVALID_VALUE, "\"" + method.get() + "\" is not a method");
            valid = false;
        }
        if (!PATH.matcher(path.get()).matches()) {
            String detail = "\"" + path.get() + "\" is not an absolute path without a query";
            line.fault("path", RuleFaultCode.INVALID_VALUE, detail);
            valid = false;
        }
        return valid ? Optional.of(new Rules.RoutePattern(method.get(), path.get())) : Optional.empty();
    }

    /** Reads a service name, which must be one segment of a path; records a fault and returns empty if it is wrong. */
    static Optional<String> serviceName(RuleLine line, String text) {
        if (SERVICE.matcher(text).matches()) {
            return Optional.of(text);
        }
        line.fault("name", RuleFaultCode.INVALID_NAME, "service name \"" + text + "\" must match " + SERVICE);
        return Optional.empty();
    }
}
