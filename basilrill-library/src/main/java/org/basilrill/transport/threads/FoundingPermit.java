package org.basilrill.transport.threads;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import org.basilrill.api.LogEvent;
import org.basilrill.transport.disk.FileFailure;

/**
 * Remembers in the data folder that a replica may found a cluster. A founding replica that ends before the cluster is
 * founded is started again without the permission in its settings; the founding would then wait for it for good. A
 * folder that was wiped holds no permit. Stateless and thread safe.
 */
public final class FoundingPermit {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String FILE = "may-found";

    private FoundingPermit() {}

    /**
     * Returns whether the replica may found a cluster. A permit that cannot be kept is logged and still holds for this
     * start; the store tells of a folder that cannot be used at all.
     *
     * @param folder data folder, created if missing
     * @param settingsAllow whether the settings of this start allow it
     */
    public static boolean granted(Path folder, boolean settingsAllow) {
        Path permit = folder.resolve(FILE);
        if (!settingsAllow) {
            return Files.exists(permit);
        }
        try {
            Files.createDirectories(folder);
            try (FileChannel channel = FileChannel.open(permit, StandardOpenOption.CREATE, StandardOpenOption.WRITE)) {
                channel.force(true);
            }
        } catch (IOException exception) {
            LOGGER.atWarning().log("%s: %s", LogEvent.FOUNDING_PERMIT_NOT_KEPT, FileFailure.reason(exception));
        }
        return true;
    }
}
