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
 * Records in the data folder that a replica may found a cluster. A founding replica that stops before the cluster is
 * founded may be restarted with settings that no longer allow the founding. Without the recorded permit, the other
 * founding replicas would wait for it forever. A wiped folder has no permit. Stateless and thread safe.
 */
public final class FoundingPermit {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String FILE = "may-found";

    private FoundingPermit() {}

    /**
     * Returns whether the replica may found a cluster. A permit that cannot be written is logged and still valid until
     * the process ends. If the folder cannot be used at all, the store reports that when it is opened.
     *
     * @param folder data folder, created if missing
     * @param settingsAllow whether the current settings allow the founding
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
