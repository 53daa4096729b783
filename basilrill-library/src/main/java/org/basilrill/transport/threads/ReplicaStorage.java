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
 * The store of a replica across outages. An outage begins with a failed write or opening, or with another failure of
 * the replica, and ends when the store is writable and a new replica has read it. Used on the replica's thread, except
 * for {@link #outage}, which is thread safe.
 */
final class ReplicaStorage {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Supplier<FileDurableStore> opener;
    private final Predicate<BasilrillException> mayPass;
    private final MonotonicClock clock;
    private final RecentFailures recentFailures = new RecentFailures();
    private Optional<FileDurableStore> store = Optional.empty();
    private volatile Optional<ReplicaOutage> outage = Optional.empty();

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
     * Returns the store, which is writable. Opens it on the first call and after a failure that was not the disk's, and
     * makes it writable again otherwise.
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
    Optional<ReplicaOutage> outage() {
        return outage;
    }

    /** Returns for how long the disk could not be written; empty while it can be. */
    Optional<Duration> diskOutageLength() {
        return outage.filter(current -> isDiskFailure(current.reason())).map(current -> current.length(clock.nanos()));
    }

    boolean isAttemptDue() {
        return outage.filter(current -> current.isAttemptDue(clock.nanos())).isPresent();
    }

    /**
     * Begins an outage because of the disk, or of another failure of the replica.
     *
     * @throws ReplicaError if the replica failed again and again for another reason than its disk
     */
    void beginOutage(BasilrillException reason) {
        if (isDiskFailure(reason)) {
            LOGGER.atSevere().withCause(reason).log("%s: %s", LogEvent.REPLICA_SUSPENDED, reason.getMessage());
            outage = Optional.of(ReplicaOutage.begin(reason, 0, clock.nanos()));
            return;
        }
        LOGGER.atSevere().withCause(reason).log("%s: %s", LogEvent.REPLICA_FAILED, reason.getMessage());
        closeStore();
        outage = Optional.of(ReplicaOutage.begin(reason, recentFailures.record(reason, clock.nanos()), clock.nanos()));
    }

    /** Schedules the next attempt after a failed one. */
    void attemptFailed(RuntimeException failure) {
        if (isDiskFailure(failure)) {
            outage = outage.map(current -> current.afterFailedAttempt(clock.nanos()));
        } else {
            beginOutage(reasonOf(failure));
        }
    }

    /** Returns the failure with a code. */
    static BasilrillException reasonOf(RuntimeException failure) {
        return failure instanceof BasilrillException typed
                ? typed
                : new BasilrillException(ErrorCode.INTERNAL, String.valueOf(failure), failure);
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

    /** Makes the next use open the store again, as what this process holds of it may be wrong. */
    private void closeStore() {
        try {
            close();
        } catch (BasilrillException exception) {
            LOGGER.atWarning().log("%s: store not closed: %s", LogEvent.REPLICA_FAILED, exception.getMessage());
        }
        store = Optional.empty();
    }

    static boolean isDiskFailure(RuntimeException exception) {
        return exception instanceof BasilrillException typed && typed.code() == ErrorCode.DISK_FAILED;
    }
}
