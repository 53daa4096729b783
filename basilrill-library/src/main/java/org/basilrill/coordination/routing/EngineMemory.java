package org.basilrill.coordination.routing;

import org.basilrill.state.target.TargetAnnouncement;

/** Tokens that fit into the memory of each engine. Implementations are thread safe. */
@FunctionalInterface
public interface EngineMemory {
    /** Memory of engines that state none. */
    EngineMemory UNLIMITED = target -> Long.MAX_VALUE;

    /** Returns the tokens of all requests at the engine that fit into its memory. */
    long tokensOf(TargetAnnouncement target);
}
