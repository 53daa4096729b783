package org.basilrill.state.target;

import java.math.BigDecimal;
import java.time.Duration;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * What a target states about itself in a response, whatever the request. Immutable and thread safe.
 *
 * @param leaving whether the target is about to stop and wants no new requests
 * @param pause how long the target wants no request from this instance, counted from the response
 * @param refusalLimit the target fails if it has to refuse more requests than this in a second for want of room; empty
 *     if it bears any number
 * @param refused whether the target has not run the request, for want of room
 * @param coldRemainingMillis time until the target is warm, counted from the response; 0 if it states none,
 *     {@link ColdRemaining#MALFORMED} if that cannot be read
 */
public record TargetNotices(
        boolean leaving,
        Optional<Duration> pause,
        Optional<Integer> refusalLimit,
        boolean refused,
        long coldRemainingMillis) {
    /** The notices of a response that states nothing. */
    public static final TargetNotices NONE = new TargetNotices(false, Optional.empty(), Optional.empty(), false);

    /** Longer pauses are shortened to this; a target is hardly ever in service for as long. */
    private static final Duration LONGEST_PAUSE = Duration.ofDays(1);

    private static final Pattern SECONDS = Pattern.compile("[0-9]{1,40}(\\.[0-9]{1,40})?");
    private static final Pattern COUNT = Pattern.compile("[0-9]{1,9}");
    private static final BigDecimal NANOS_PER_SECOND = BigDecimal.valueOf(1_000_000_000L);

    /** Creates the notices of a response that does not state whether the target is cold. */
    public TargetNotices(boolean leaving, Optional<Duration> pause, Optional<Integer> refusalLimit, boolean refused) {
        this(leaving, pause, refusalLimit, refused, 0);
    }

    /**
     * Parses the seconds of a pause, which may have a fraction.
     *
     * @return empty if the text is not a number, such as a date, or if the pause has no duration
     */
    public static Optional<Duration> parsePause(String seconds) {
        String trimmed = seconds.trim();
        if (!SECONDS.matcher(trimmed).matches()) {
            return Optional.empty();
        }
        BigDecimal longest = BigDecimal.valueOf(LONGEST_PAUSE.toSeconds());
        BigDecimal limited = new BigDecimal(trimmed).min(longest);
        return Optional.of(Duration.ofNanos(limited.multiply(NANOS_PER_SECOND).longValue()))
                .filter(pause -> !pause.isZero());
    }

    /** Parses the number of refusals; empty if it is not a whole number. */
    public static Optional<Integer> parseRefusalLimit(String count) {
        String trimmed = count.trim();
        return COUNT.matcher(trimmed).matches() ? Optional.of(Integer.parseInt(trimmed)) : Optional.empty();
    }
}
