package org.basilrill.coordination.consensus;

import java.util.random.RandomGenerator;
import org.basilrill.api.MonotonicClock;

/**
 * The dependencies of a replica: clock, random numbers, outgoing messages and events. Thread safe if its components
 * are.
 */
public record ReplicaEnvironment(
        MonotonicClock clock, RandomGenerator random, MessageSender sender, EventListener events) {}
