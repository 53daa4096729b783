package org.basilrill.protocol.caller;

import java.util.concurrent.CompletableFuture;

/**
 * Handles requests that this instance serves itself instead of routing them to a target. Implementations are thread
 * safe and never block.
 */
@FunctionalInterface
public interface PlainRoutes {
    /**
     * Returns the response; completes exceptionally with a {@link org.basilrill.api.BasilrillException} if the request
     * is rejected.
     */
    CompletableFuture<PlainAnswer> answer(RequestHead head, byte[] body);
}
