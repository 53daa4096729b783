package org.basilrill.protocol.dialect;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import org.basilrill.protocol.caller.InstanceListing;
import org.basilrill.state.configuration.RulesSource;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.target.AnnouncementReceiver;

/**
 * What an instance does for targets, operators and callers. Immutable and thread safe.
 *
 * @param listing instances that callers may use
 * @param announcements takes what targets say of themselves
 * @param rules the operators' rules
 * @param ready whether the instance takes new requests
 */
public record InstanceAccess(
        InstanceListing listing, AnnouncementReceiver announcements, RulesStore rules, BooleanSupplier ready) {
    /** The operators' rules in the control log. Implementations are thread safe and never block. */
    public interface RulesStore {
        /**
         * Makes a revision the rules in force if it is the highest so far.
         *
         * @return the result of the log; fails with {@code CONTROL_UNAVAILABLE} if none came in time
         */
        CompletableFuture<ControlResult> install(long revision, String text);

        /** Returns rules that are at least as new as any accepted before this call; fails like {@link #install}. */
        CompletableFuture<RulesSource> read();
    }
}
