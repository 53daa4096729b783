package org.basilrill.protocol.dialect;

import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.basilrill.protocol.caller.InstanceListing;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.configuration.RulesSource;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.target.AnnouncementReceiver;

/**
 * The services of an instance that a dialect's routes expose to targets, operators and callers. Immutable and thread
 * safe.
 *
 * @param listing list of the instances that callers may use
 * @param announcements receives the announcements of targets
 * @param rules the operators' rules
 * @param evacuations the operators' calls that concern evacuations
 * @param currentRules the rules that this instance applies now
 * @param ready whether the instance accepts new requests
 */
public record InstanceAccess(
        InstanceListing listing,
        AnnouncementReceiver announcements,
        RulesStore rules,
        Evacuations evacuations,
        Supplier<Rules> currentRules,
        BooleanSupplier ready) {
    /**
     * Begins and ends evacuations of data centres. The futures complete once the call is committed to the control log,
     * and fail with {@code NOT_FOUND} if the data centre does not exist or {@code CONTROL_UNAVAILABLE} if the call can
     * be made again. Implementations are thread safe and never block.
     */
    public interface Evacuations {
        /** Requests that no further request is sent to the targets of a data centre. */
        CompletableFuture<Void> begin(String dataCentre);

        /** Withdraws the request. */
        CompletableFuture<Void> end(String dataCentre);
    }

    /** The operators' rules in the control log. Implementations are thread safe and never block. */
    public interface RulesStore {
        /**
         * Installs a revision as the rules in force if it is higher than every earlier one.
         *
         * @return the result of the control log; fails with {@code CONTROL_UNAVAILABLE} if it does not arrive in time
         */
        CompletableFuture<ControlResult> install(long revision, String text);

        /** Returns rules that are at least as new as any accepted before this call; fails like {@link #install}. */
        CompletableFuture<RulesSource> read();
    }
}
