package org.basilrill.coordination.routing;

/**
 * What is expected if a request is sent to a target now. Immutable and thread safe.
 *
 * @param firstEventMillis time until the first event of the response
 * @param lastEventMillis time until the end of the response
 * @param pauseMillis longest pause between events that the streams at the target get; 0 if none runs there
 * @param addedMillis part of that pause that the request itself causes
 */
public record ResponseForecast(
        double firstEventMillis, double lastEventMillis, double pauseMillis, double addedMillis) {}
