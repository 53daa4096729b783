package org.basilrill.state.target;

import org.basilrill.api.TargetId;

/** The software version of a target that may have started again; differs for each incarnation. Stateless. */
final class UnconfirmedVersion {
    /** A control character, so that no target announces such a version. */
    private static final String PREFIX = "\u0001unconfirmed ";

    private UnconfirmedVersion() {}

    static String of(TargetId target, long incarnation) {
        return PREFIX + target.value() + " " + incarnation;
    }

    static boolean matches(String version) {
        return version.startsWith(PREFIX);
    }
}
