package org.basilrill.coordination.path;

import java.util.concurrent.CompletableFuture;
import org.basilrill.state.target.TargetAnnouncement;

/** Checks whether a target accepts a connection. Implementations are thread safe and never block. */
@FunctionalInterface
public interface ConnectionCheck {
    /** Returns whether the target accepted a connection; the future never fails. */
    CompletableFuture<Boolean> accepts(TargetAnnouncement target);
}
