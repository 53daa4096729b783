package org.basilrill.daemon.command;

/** Exit codes of the command line program. */
public enum ExitCode {
    SUCCESS(0),
    FAILURE(1),
    USAGE(2);

    private final int number;

    ExitCode(int number) {
        this.number = number;
    }

    /** Returns the exit code of the process. */
    public int number() {
        return number;
    }
}
