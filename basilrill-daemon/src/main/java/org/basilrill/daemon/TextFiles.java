package org.basilrill.daemon;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.transport.disk.FileFailure;

/** Reads the files given on the command line. Stateless and thread safe. */
public final class TextFiles {
    private TextFiles() {}

    /**
     * Reads a text file in UTF-8.
     *
     * @param description type of the file for the error message, such as "settings file"
     * @throws BasilrillException with {@code FILE_UNREADABLE} and the reason if it cannot be read
     */
    public static String read(String description, Path file) {
        try {
            return Files.readString(file);
        } catch (IOException exception) {
            String reason = FileFailure.reason(exception).replace(file + ": ", "");
            throw new BasilrillException(
                    ErrorCode.FILE_UNREADABLE, "cannot read " + description + " " + file + ": " + reason, exception);
        }
    }
}
