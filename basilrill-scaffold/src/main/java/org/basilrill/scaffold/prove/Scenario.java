package org.basilrill.scaffold.prove;

import java.util.Random;

/** A failure scenario that is run with real processes. */
interface Scenario {
    /** Returns the name by which the scenario is chosen on the command line. */
    String name();

    /**
     * Runs the scenario and returns what was seen, in one line.
     *
     * @param laboratory starts processes in the folder of this run; closed by the caller
     * @param random fixes the order of events
     * @throws ProofFailure if an expectation was not met
     */
    String run(Laboratory laboratory, Random random) throws Exception;
}
