package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.Rules;

/** Authorises requests by the rules and plans their execution. Implementations are thread safe. */
interface Planner {
    /**
     * Authorises a request by its head.
     *
     * @throws BasilrillException if the request is refused; it has not run
     */
    Authorization authorize(RequestHead head, Rules rules);

    /** Returns the ID of the request for an error response. */
    String requestId(RequestHead head);

    /**
     * Returns how long the caller waits for the response; empty if the request does not state it.
     *
     * @throws BasilrillException if the stated time is invalid; the request has not run
     */
    Optional<Duration> remainingTime(RequestHead head);

    /** An authorised request. */
    interface Authorization {
        /** Returns the client account of the request; empty on open routes. */
        Optional<AccountId> account();

        /** Returns the hash of the key that authorised the request. */
        Optional<KeyHash> keyHash();

        /**
         * Plans the execution of the request.
         *
         * @throws BasilrillException if the request is refused; it has not run
         */
        RequestPlan plan(byte[] body);
    }
}
