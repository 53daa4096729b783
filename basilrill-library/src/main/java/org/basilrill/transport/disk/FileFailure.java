package org.basilrill.transport.disk;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.AccessDeniedException;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;

/**
 * Formats failures of file operations, whose exception messages often contain only a path. Stateless and thread safe.
 */
public final class FileFailure {
    private FileFailure() {}

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
