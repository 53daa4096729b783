package org.basilrill.state.control;

import org.basilrill.state.control.ControlCommand.BeginEvacuation;
import org.basilrill.state.control.ControlCommand.EndEvacuation;
import org.basilrill.state.control.ControlCommand.ReleaseSuspect;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlCommand.ReportCrashEvidence;
import org.basilrill.state.control.ControlCommand.RequestTrial;

/**
 * The format levels of the records of the control log. A replica of a lower level refuses a record that it does not
 * know, and its snapshots lack what the record changed, so a record is proposed only if all replicas understand its
 * level.
 * Numbers are published to other builds and never change.
 */
public final class FormatLevel {
    /** Level of a build that publishes none. */
    public static final int NONE = 0;

    /** Level from which on evacuations, and rules that name regions, are understood. */
    public static final int EVACUATION = 1;

    /** Level from which on evidence against whole requests, trials of them and their release are understood. */
    public static final int CRASH_EVIDENCE = 2;

    /** The highest level that this build understands. */
    public static final int HIGHEST = CRASH_EVIDENCE;

    private static final String REGIONS_FIELD = " regions ";

    private FormatLevel() {}

    /** Returns the level that a replica needs to apply the command. */
    public static int requiredBy(ControlCommand command) {
        if (command instanceof ReportCrashEvidence
                || command instanceof RequestTrial
                || command instanceof ReleaseSuspect) {
            return CRASH_EVIDENCE;
        }
        boolean evacuation = command instanceof BeginEvacuation || command instanceof EndEvacuation;
        return evacuation || namesRegions(command) ? EVACUATION : NONE;
    }

    /** Earlier builds refuse rules with this field, so their replicas would keep another revision. */
    private static boolean namesRegions(ControlCommand command) {
        return command instanceof ReplaceRules rules && rules.text().contains(REGIONS_FIELD);
    }
}
