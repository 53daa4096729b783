package org.basilrill.coordination.admission;

import org.basilrill.api.ModelId;

/** Is notified of the demand for models, so that placement can load them. Called without locks held; must not block. */
public interface DemandListener {
    /** Counts a request for a model, whatever becomes of it. */
    void requested(ModelId model, long tokens);

    /** Tells that requests wait here for a model without a ready copy; called again when the number changes. */
    void waitingForCopy(ModelId model, int requests);

    /** Returns a listener that ignores everything. */
    static DemandListener none() {
        return new DemandListener() {
            @Override
            public void requested(ModelId model, long tokens) {
                // Nothing to do.
            }

            @Override
            public void waitingForCopy(ModelId model, int requests) {
                // Nothing to do.
            }
        };
    }
}
