package org.basilrill.coordination.admission;

/** Limits retries to a share of the requests, so that failures do not multiply the load. Thread safe. */
public interface RetryBudget {
    /** Counts a new request. */
    void requestStarted();

    /** Takes one retry from the budget; false if the budget is used up. */
    boolean tryRetry();
}
