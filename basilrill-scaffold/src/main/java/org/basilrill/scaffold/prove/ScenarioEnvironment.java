package org.basilrill.scaffold.prove;

import java.nio.file.Path;

/**
 * The place in which a scenario runs.
 *
 * @param folder holds settings, data folders and logs of the run
 * @param processes all processes of the run
 * @param daemonJar program of the instances
 * @param scaffoldJar program of the fake targets
 */
record Laboratory(Path folder, ProcessGroup processes, Path daemonJar, Path scaffoldJar) {}
