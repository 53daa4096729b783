package org.basilrill.protocol.caller;

import java.util.Locale;
import java.util.regex.Pattern;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/**
 * Checks that a path is in canonical form, so that a routing rule cannot be bypassed with an equivalent spelling of the
 * path. Stateless and thread safe.
 */
public final class RequestPaths {
    private static final Pattern ALLOWED = Pattern.compile("/(?:[A-Za-z0-9._~!$&'()*+,=:@/-]|%[0-9A-Fa-f]{2})*");

    /** Percent-encodings of unreserved characters, slash, backslash, semicolon and control characters. */
    private static final Pattern AMBIGUOUS =
            Pattern.compile("%(?:[01][0-9a-f]|2[def]|3[0-9b]|4[1-9a-f]|5[0-9acf]|6[1-9a-f]|7[0-9aef])");

    private static final Pattern DOT_OR_EMPTY_SEGMENT = Pattern.compile("//|/\\.{1,2}(?:/|$)|.+/$");

    private RequestPaths() {}

    /**
     * Returns the path unchanged.
     *
     * @throws BasilrillException with {@code MALFORMED_REQUEST} if the path is not in canonical form
     */
    public static String requireCanonical(String path) {
        boolean canonical = ALLOWED.matcher(path).matches()
                && !AMBIGUOUS.matcher(path.toLowerCase(Locale.ROOT)).find()
                && !DOT_OR_EMPTY_SEGMENT.matcher(path).find();
        if (!canonical) {
            throw new BasilrillException(
                    ErrorCode.MALFORMED_REQUEST,
                    "the path must be absolute, without dot segments, empty segments, a trailing slash or encodings "
                            + "of characters that need none");
        }
        return path;
    }
}
