package org.basilrill.scaffold;

/** Entry point of the test scaffolding programs. */
public final class Main {
    private Main() {}

    /** Runs the program. */
    public static void main(String[] arguments) {
        System.exit(0);
    }
}
