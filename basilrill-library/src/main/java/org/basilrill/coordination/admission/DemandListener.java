package org.basilrill.coordination.admission;

import org.basilrill.api.ModelId;
import org.basilrill.state.configuration.Residency;

/** Receives the demand for models, so that placement can load them. Called without locks held; must not block. */
public interface DemandListener {
    /** Counts a request for a model, whatever its result. */
    void requestReceived(ModelId model, long tokens);

    /** Reports that requests for a model may be served in some data centres only; called for each such request. */
    default void requestedWithin(ModelId model, Residency residency) {
        // Only placement depends on where a model is requested.
    }

    /**
     * Reports how many requests are queued here for a model without a ready copy. Called again whenever the number
     * changes.
     */
    void queuedWithoutCopy(ModelId model, int requests);

    /** Returns a listener that does nothing. */
    static DemandListener none() {
        return new DemandListener() {
            @Override
            public void requestReceived(ModelId model, long tokens) {
                // Nothing to do.
            }

            @Override
            public void queuedWithoutCopy(ModelId model, int requests) {
                // Nothing to do.
            }
        };
    }
}
