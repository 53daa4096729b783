package org.basilrill.protocol.caller;

import java.util.concurrent.CompletableFuture;

/** Answers requests that this instance serves itself. Implementations are thread safe and never block. */
@FunctionalInterface
public interface PlainRoutes {
    /** Returns the answer; fails with a typed failure if the request is refused. */
    CompletableFuture<PlainAnswer> answer(RequestHead head, byte[] body);
}
