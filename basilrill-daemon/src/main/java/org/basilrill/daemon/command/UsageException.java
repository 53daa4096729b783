package org.basilrill.daemon.command;

/** Thrown for invalid command line arguments. */
public final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public UsageException(String detail) {
        super(detail);
    }
}
