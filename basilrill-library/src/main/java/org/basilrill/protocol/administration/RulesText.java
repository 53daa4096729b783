package org.basilrill.protocol.administration;

import java.util.concurrent.CompletableFuture;

/** Reads the text of the rules in force. Implementations are thread safe and never block. */
@FunctionalInterface
public interface RulesText {
    /** Returns the current text; fails with {@code CONTROL_UNAVAILABLE} if the control log cannot be read. */
    CompletableFuture<Revision> current();

    /** The text of one revision. */
    record Revision(long revision, String text) {}
}
