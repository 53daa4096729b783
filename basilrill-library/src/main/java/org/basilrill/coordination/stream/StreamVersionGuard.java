package org.basilrill.coordination.stream;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.stream.Collectors;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand.FindStream;
import org.basilrill.state.control.ControlCommand.RecordStreams;
import org.basilrill.state.control.ControlCommand.RegisterVersion;
import org.basilrill.state.control.ControlCommand.StreamRecord;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.ServiceVersions;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Ensures that a resumable stream continues only at targets of the software version that began it. A version is
 * registered in the control log before a stream begins at it. While a service has several versions, the version of each
 * stream is recorded there, together with the recent streams of this instance. A stream without a record is known only
 * if there was a single version. Thread safe.
 */
public final class StreamVersionGuard {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Streams that begin within this time are recorded in one command. */
    private static final Duration RECORD_DELAY = Duration.ofMillis(20);

    /** Covers an election of the control log; a caller waits for the result. */
    private static final Duration QUERY_DEADLINE = Duration.ofSeconds(1);

    /** The time given to a record; no caller waits for it. */
    private static final Duration RECORD_DEADLINE = Duration.ofSeconds(5);

    /** Added to the age of a stream for views that are out of date and for steps of the leader's clock. */
    private static final Duration WINDOW_MARGIN = Duration.ofSeconds(30);

    private static final int MAXIMUM_STREAMS_PER_COMMAND = 1024;

    /** Stands for the version of targets that announce none. */
    private static final String UNSTATED = "";

    private final ControlClient control;
    private final Scheduler scheduler;
    private final TargetDirectory targets;
    private final RecentStreams recent;
    private final Map<Version, CompletableFuture<Void>> registrations = new HashMap<>();
    private Set<Version> inService = Set.of();
    private Set<String> several = Set.of();
    private List<StreamRecord> unrecorded = new ArrayList<>();
    private boolean recordScheduled;

    /**
     * Creates the guard of one instance.
     *
     * @param targets what is known of the targets now
     */
    public StreamVersionGuard(
            ControlClient control, MonotonicClock clock, Scheduler scheduler, TargetDirectory targets) {
        this.control = control;
        this.scheduler = scheduler;
        this.targets = targets;
        recent = new RecentStreams(clock);
        control.onView(this::viewChanged);
    }

    /** Returns the software version of a target as the control log knows it. */
    public static String versionOf(TargetAnnouncement target) {
        return target.softwareVersion().orElse(UNSTATED);
    }

    /**
     * Returns what is known now of the target of an attempt, which may have been suspected of a restart since it was
     * chosen.
     */
    public TargetAnnouncement latest(TargetAnnouncement target) {
        return targets.target(target.id()).orElse(target);
    }

    /**
     * Registers the version of a target, unless it is registered. Only then may a stream begin there. An unconfirmed
     * version is not registered; streams that begin with it are resumed at the same target only.
     *
     * @return fails with {@code CONTROL_UNAVAILABLE} if the control log returned no result in time
     */
    public CompletableFuture<Void> register(TargetAnnouncement target) {
        if (target.hasUnconfirmedVersion()) {
            return CompletableFuture.completedFuture(null);
        }
        Version version = new Version(target.service().orElse(""), versionOf(target));
        CompletableFuture<Void> registration;
        synchronized (this) {
            if (inService.contains(version)) {
                return CompletableFuture.completedFuture(null);
            }
            CompletableFuture<Void> pending = registrations.get(version);
            if (pending != null) {
                return pending;
            }
            registration = new CompletableFuture<>();
            registrations.put(version, registration);
        }
        control.submit(new RegisterVersion(version.service(), version.version()), QUERY_DEADLINE)
                .whenComplete((result, problem) -> registered(version, registration, result));
        return registration;
    }

    /** Registers the version of an announced engine, so that the first stream there does not wait for it. */
    public void targetAnnounced(TargetAnnouncement target) {
        if (target.isEngine() && target.softwareVersion().isPresent()) {
            register(target);
        }
    }

    /**
     * Records the version that began the stream of a request. An unconfirmed one is recorded even if the service has a
     * single version, as a stream without a record is taken to be of that.
     */
    public void streamBegan(String requestId, TargetAnnouncement target) {
        StreamRecord record = new StreamRecord(requestId, target.service().orElse(""), versionOf(target));
        synchronized (this) {
            recent.add(record);
            if (!several.contains(record.service()) && !target.hasUnconfirmedVersion()) {
                return;
            }
            unrecorded.add(record);
        }
        scheduleRecord();
    }

    /**
     * Returns the version that began a stream; empty if it is unknown.
     *
     * @param firstRequestId id of the request that brought the first event, if the caller states it
     * @param longestStream longest time for which a caller waits for the stream
     * @return fails with {@code CONTROL_UNAVAILABLE} if the control log returned no result in time
     */
    public CompletableFuture<Optional<String>> versionOfStream(
            Optional<String> firstRequestId, String service, Duration longestStream) {
        Optional<String> own;
        synchronized (this) {
            own = firstRequestId
                    .flatMap(recent::find)
                    .filter(record -> record.service().equals(service))
                    .map(StreamRecord::version);
        }
        if (own.isPresent()) {
            return CompletableFuture.completedFuture(own);
        }
        long windowMillis = longestStream.plus(WINDOW_MARGIN).toMillis();
        return control.submit(new FindStream(firstRequestId, service, windowMillis, 0), QUERY_DEADLINE)
                .thenApply(result ->
                        result instanceof ControlResult.StreamVersion stream ? stream.version() : Optional.empty());
    }

    private void registered(Version version, CompletableFuture<Void> registration, ControlResult result) {
        // A leader of an earlier release refuses the command; streams then begin as they did before it existed.
        if (result instanceof ControlResult.Done || result instanceof ControlResult.Refused) {
            registration.complete(null);
            return;
        }
        synchronized (this) {
            registrations.remove(version);
        }
        registration.completeExceptionally(new BasilrillException(
                ErrorCode.CONTROL_UNAVAILABLE, "the software version of the target could not be registered"));
    }

    private void viewChanged(ControlView view) {
        synchronized (this) {
            Set<Version> versions = new HashSet<>();
            for (ServiceVersions service : view.serviceVersions()) {
                service.inService().forEach(version -> versions.add(new Version(service.service(), version)));
            }
            Set<String> severalNow = view.serviceVersions().stream()
                    .filter(ServiceVersions::several)
                    .map(ServiceVersions::service)
                    .collect(Collectors.toUnmodifiableSet());
            if (versions.equals(inService) && severalNow.equals(several)) {
                return;
            }
            // A version that was retired has to be registered again.
            registrations.keySet().retainAll(versions);
            Set<String> changed = new HashSet<>(severalNow);
            changed.removeAll(several);
            unrecorded.addAll(recent.ofServices(changed));
            inService = versions;
            several = severalNow;
        }
        LOGGER.atInfo().log("%s: %s", LogEvent.SOFTWARE_VERSIONS_CHANGED, view.serviceVersions());
        scheduleRecord();
    }

    private void scheduleRecord() {
        synchronized (this) {
            if (recordScheduled || unrecorded.isEmpty()) {
                return;
            }
            recordScheduled = true;
        }
        scheduler.schedule(RECORD_DELAY, this::recordStreams);
    }

    private void recordStreams() {
        List<StreamRecord> records;
        synchronized (this) {
            recordScheduled = false;
            int count = Math.min(MAXIMUM_STREAMS_PER_COMMAND, unrecorded.size());
            records = List.copyOf(unrecorded.subList(0, count));
            unrecorded = new ArrayList<>(unrecorded.subList(count, unrecorded.size()));
        }
        control.submit(new RecordStreams(records, 0), RECORD_DEADLINE).whenComplete((result, problem) -> {
            if (problem != null) {
                LOGGER.atWarning().log("%s: %d streams", LogEvent.STREAMS_NOT_RECORDED, records.size());
            }
        });
        scheduleRecord();
    }

    /** A software version of one service. */
    private record Version(String service, String version) {}
}
