package org.basilrill.scaffold.prove;

import java.util.Random;

/** A failure scenario that runs with real processes. */
interface Scenario {
    /** Returns the name of the scenario on the command line. */
    String name();

    /**
     * Runs the scenario and returns a summary of its observations in one line.
     *
     * @param environment folder and processes of this run; the caller closes the processes
     * @param random determines the random choices of the scenario
     * @throws ScenarioFailure if an expectation is not met
     */
    String run(ScenarioEnvironment environment, Random random) throws Exception;
}
