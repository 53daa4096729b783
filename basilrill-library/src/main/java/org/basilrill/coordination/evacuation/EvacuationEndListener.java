package org.basilrill.coordination.evacuation;

/** Receives the ends of evacuations at this instance. Implementations never block. */
@FunctionalInterface
public interface EvacuationEndListener {
    /** Does nothing. */
    EvacuationEndListener NONE = dataCentre -> {};

    /**
     * Called when this instance learns that the evacuation of a data centre has ended, before requests are sent there
     * again.
     */
    void ended(String dataCentre);
}
