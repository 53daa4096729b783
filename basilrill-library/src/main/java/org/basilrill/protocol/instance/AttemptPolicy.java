package org.basilrill.protocol.instance;

/**
 * How often and for how long a request is tried. Immutable and thread safe.
 *
 * @param maximumAttempts targets that the request may be sent to
 * @param coversWholeAnswer whether the deadline is that of the complete answer, not of its first byte
 * @param repeatsServerErrors whether a target's own failure is worth another attempt
 */
record AttemptPolicy(int maximumAttempts, boolean coversWholeAnswer, boolean repeatsServerErrors) {}
