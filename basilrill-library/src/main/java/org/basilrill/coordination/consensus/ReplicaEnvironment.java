package org.basilrill.coordination.consensus;

import java.util.random.RandomGenerator;
import org.basilrill.api.MonotonicClock;

/** What a replica needs from outside: time, randomness, messages out and events out. Thread safe if its parts are. */
public record ReplicaEnvironment(
        MonotonicClock clock, RandomGenerator random, MessageSender sender, EventListener events) {}
