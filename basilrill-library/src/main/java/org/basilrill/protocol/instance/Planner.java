package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.Rules;

/** Authorises requests against the rules and plans how they run. Implementations are thread safe. */
interface Planner {
    /**
     * Authorises a request by its head.
     *
     * @throws BasilrillException if the request is refused; nothing ran
     */
    Authorization authorize(RequestHead head, Rules rules);

    /** Returns the id under which a refusal is answered. */
    String requestId(RequestHead head);

    /**
     * Returns how long the caller waits for the answer; empty if its request does not say so.
     *
     * @throws BasilrillException if what it says is not valid; nothing ran
     */
    Optional<Duration> timeLeft(RequestHead head);

    /** A request that may run. */
    interface Authorization {
        /** Returns the client account that it runs for; empty on routes open to all. */
        Optional<AccountId> account();

        /** Returns the key by which it was authorised. */
        Optional<KeyHash> keyHash();

        /**
         * Plans how it runs.
         *
         * @throws BasilrillException if the request is refused; nothing ran
         */
        RequestPlan plan(byte[] body);
    }
}
