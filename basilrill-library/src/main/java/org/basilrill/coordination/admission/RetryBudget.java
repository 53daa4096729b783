package org.basilrill.coordination.admission;

/**
 * Limits retries to a share of the requests, so that failures do not multiply the load. Implementations are thread
 * safe.
 */
public interface RetryBudget {
    /** Counts a new request. */
    void requestStarted();

    /** Charges one retry to the budget; returns false if the budget is used up. */
    boolean tryRetry();
}
