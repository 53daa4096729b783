package org.basilrill.scaffold.prove;

import java.nio.file.Path;

/**
 * Folder, processes and programs of a scenario run.
 *
 * @param folder holds settings, data folders and logs of the run
 * @param processes all processes of the run
 * @param daemonJar program of the instances
 * @param scaffoldJar program of the fake targets
 */
record ScenarioEnvironment(Path folder, ProcessGroup processes, Path daemonJar, Path scaffoldJar) {}
