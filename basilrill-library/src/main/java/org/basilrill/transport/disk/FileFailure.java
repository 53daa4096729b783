package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.AccessDeniedException;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NoSuchFileException;
import java.nio.file.Path;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;

/**
 * Formats failures of file operations, whose exception messages often contain only a path. Stateless and thread safe.
 */
public final class FileFailure {
    private FileFailure() {}

    /**
     * Returns whether a failure to open a data folder may pass without a change by an operator, as a full disk does. A
     * folder that is in use, or that cannot be created or written at its place, stays so.
     */
    public static boolean mayPass(BasilrillException exception, Path folder) {
        boolean ofTheDisk = exception.code() == ErrorCode.DISK_FAILED && exception.getCause() instanceof IOException;
        Path existing = folder.toAbsolutePath();
        while (existing != null && !Files.exists(existing)) {
            existing = existing.getParent();
        }
        return ofTheDisk && existing != null && Files.isDirectory(existing) && Files.isWritable(existing);
    }

    /** Returns the reason, and the affected path if the exception contains one. */
    public static String reason(IOException exception) {
        String message = String.valueOf(exception.getMessage());
        if (exception instanceof NoSuchFileException) {
            return message + ": no such file or folder";
        }
        if (exception instanceof AccessDeniedException) {
            return message + ": permission denied";
        }
        if (exception instanceof FileAlreadyExistsException) {
            return message + ": is a file, not a folder";
        }
        if (exception instanceof DirectoryNotEmptyException) {
            return message + ": folder is not empty";
        }
        if (exception instanceof CharacterCodingException) {
            return "the text is not encoded in UTF-8";
        }
        return message;
    }
}
