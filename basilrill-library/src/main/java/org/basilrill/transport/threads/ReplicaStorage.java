package org.basilrill.transport.threads;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.transport.disk.FileDurableStore;

/**
 * The store of a replica across outages of its disk. An outage begins with a failed write or opening and ends when the
 * store is writable again. Used on the replica's thread, except for {@link #outage}, which is thread safe.
 */
final class ReplicaStorage {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Supplier<FileDurableStore> opener;
    private final Predicate<BasilrillException> mayPass;
    private final MonotonicClock clock;
    private Optional<FileDurableStore> store = Optional.empty();
    private volatile Optional<DiskOutage> outage = Optional.empty();

    /**
     * Creates the storage; it opens nothing yet.
     *
     * @param mayPass whether a failure of the first opening begins an outage
     */
    ReplicaStorage(Supplier<FileDurableStore> opener, Predicate<BasilrillException> mayPass, MonotonicClock clock) {
        this.opener = opener;
        this.mayPass = mayPass;
        this.clock = clock;
    }

    /**
     * Returns the store, which is writable. Opens it on the first call and makes it writable again on later calls.
     *
     * @throws BasilrillException with {@code DISK_FAILED} if the disk cannot be written
     */
    FileDurableStore use() {
        if (store.isPresent()) {
            store.get().recover();
        } else {
            store = Optional.of(opener.get());
        }
        return store.get();
    }

    /** Returns whether a failure to open the store may pass by itself. */
    boolean mayPass(BasilrillException failure) {
        return mayPass.test(failure);
    }

    /** Returns the current outage; empty while the disk is in use. */
    Optional<DiskOutage> outage() {
        return outage;
    }

    /** Returns for how long the disk has been in an outage. */
    Optional<Duration> outageLength() {
        return outage.map(current -> current.length(clock.nanos()));
    }

    boolean isAttemptDue() {
        return outage.filter(current -> current.isAttemptDue(clock.nanos())).isPresent();
    }

    void beginOutage(BasilrillException reason) {
        LOGGER.atSevere().withCause(reason).log("%s: %s", LogEvent.REPLICA_SUSPENDED, reason.getMessage());
        outage = Optional.of(DiskOutage.begin(reason, clock.nanos()));
    }

    /** Schedules the next attempt after a failed one. */
    void attemptFailed() {
        outage = outage.map(current -> current.afterFailedAttempt(clock.nanos()));
    }

    void endOutage() {
        outage.ifPresent(ended -> LOGGER.atInfo().log(
                "%s: after %d ms and %d failed attempts",
                LogEvent.REPLICA_RESUMED, ended.length(clock.nanos()).toMillis(), ended.attempts()));
        outage = Optional.empty();
    }

    void close() {
        store.ifPresent(FileDurableStore::close);
    }

    static boolean isDiskFailure(RuntimeException exception) {
        return exception instanceof BasilrillException typed && typed.code() == ErrorCode.DISK_FAILED;
    }
}
