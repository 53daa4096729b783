package org.basilrill.daemon.command;

/** Reports a command line that cannot be understood. */
public final class UsageException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    public UsageException(String detail) {
        super(detail);
    }
}
