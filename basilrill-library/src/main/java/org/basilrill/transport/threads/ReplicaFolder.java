package org.basilrill.transport.threads;

import com.google.common.flogger.FluentLogger;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.stream.Stream;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.state.log.DurableStore.Vote;
import org.basilrill.transport.disk.FileDurableStore;
import org.basilrill.transport.disk.FileFailure;

/** Opens the data folder of a replica, replacing a damaged folder by a new one. Stateless and thread safe. */
final class ReplicaFolder {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String DAMAGED_SUFFIX = ".damaged";
    private static final String REPLACEMENT_SUFFIX = ".replacement";

    private ReplicaFolder() {}

    /**
     * Opens the folder. A damaged folder is renamed for inspection, which overwrites a folder renamed earlier, and is
     * replaced by a new one with a new incarnation. The new folder contains a vote, so that it does not count as empty
     * when a cluster is founded. Otherwise, damage on all replicas would silently found an empty cluster.
     */
    static FileDurableStore open(Path folder, RandomGenerator random) {
        Path location = folder.toAbsolutePath();
        finishReplacement(location);
        try {
            FileDurableStore store = FileDurableStore.open(location, random);
            if (store.tornTailRemoved()) {
                LOGGER.atWarning().log("%s: %s", LogEvent.LOG_TAIL_TRUNCATED, location);
            }
            return store;
        } catch (BasilrillException exception) {
            if (exception.code() != ErrorCode.LOG_CORRUPT) {
                throw exception;
            }
            LOGGER.atSevere().withCause(exception).log("%s: %s", LogEvent.LOG_REBUILT, exception.getMessage());
        }
        replace(location, random);
        return FileDurableStore.open(location, random);
    }

    private static void replace(Path folder, RandomGenerator random) {
        Path replacement = sibling(folder, REPLACEMENT_SUFFIX);
        Path damaged = sibling(folder, DAMAGED_SUFFIX);
        runFolderAction(() -> {
            deleteTree(replacement);
            deleteTree(damaged);
        });
        try (FileDurableStore store = FileDurableStore.open(replacement, random)) {
            store.saveVote(new Vote(1, Optional.empty()));
        }
        runFolderAction(() -> Files.move(folder, damaged));
        finishReplacement(folder);
    }

    /**
     * Moves the replacement into place. Called at startup too, since a crash between the two renames leaves a complete
     * replacement and no folder.
     */
    private static void finishReplacement(Path folder) {
        Path replacement = sibling(folder, REPLACEMENT_SUFFIX);
        if (!Files.exists(folder) && Files.exists(replacement)) {
            runFolderAction(() -> Files.move(replacement, folder));
        }
    }

    private static Path sibling(Path folder, String suffix) {
        return folder.resolveSibling(folder.getFileName() + suffix);
    }

    private static void runFolderAction(FolderAction action) {
        try {
            action.run();
        } catch (IOException exception) {
            throw new BasilrillException(
                    ErrorCode.DISK_FAILED,
                    "damaged data folder could not be replaced: " + FileFailure.reason(exception),
                    exception);
        }
    }

    private static void deleteTree(Path root) throws IOException {
        if (!Files.exists(root)) {
            return;
        }
        List<Path> files;
        try (Stream<Path> walk = Files.walk(root)) {
            files = walk.sorted(Comparator.reverseOrder()).toList();
        }
        for (Path file : files) {
            Files.delete(file);
        }
    }

    /** A modification of folders. */
    @FunctionalInterface
    private interface FolderAction {
        void run() throws IOException;
    }
}
