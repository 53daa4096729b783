package org.basilrill.coordination.stream;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.control.ControlLog;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand.RetireVersion;
import org.basilrill.state.control.ServiceVersions;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Retires software versions that no target has had for a while, on the instance that leads the control log. A version
 * that is retired too early is registered again before the next stream begins at it. Not thread safe.
 */
public final class VersionRetirement {
    /** Longer than a restart of all targets of a version, or of the instances that know them. */
    private static final Duration UNUSED = Duration.ofSeconds(30);

    private static final Duration COMMAND_DEADLINE = Duration.ofSeconds(5);

    private final ControlClient control;
    private final Supplier<Collection<TargetAnnouncement>> targets;
    private final Optional<ControlLog> log;
    private final MonotonicClock clock;
    /** Time since which no target has had a version. */
    private final Map<UnusedVersion, Long> unusedNanos = new HashMap<>();

    /**
     * Creates the retirement of versions.
     *
     * @param log local replica of the control log; empty if this instance has none
     */
    public VersionRetirement(
            ControlClient control,
            Supplier<Collection<TargetAnnouncement>> targets,
            Optional<ControlLog> log,
            MonotonicClock clock) {
        this.control = control;
        this.targets = targets;
        this.log = log;
        this.clock = clock;
    }

    /** Retires the versions that are due; called every few seconds. */
    public void check() {
        if (log.filter(ControlLog::isLeader).isEmpty()) {
            unusedNanos.clear();
            return;
        }
        Set<UnusedVersion> unused = new HashSet<>();
        for (ServiceVersions service : control.view().serviceVersions()) {
            service.inService().forEach(version -> unused.add(new UnusedVersion(service.service(), version)));
        }
        targets.get()
                .forEach(target -> unused.remove(
                        new UnusedVersion(target.service().orElse(""), StreamVersionGuard.versionOf(target))));
        unusedNanos.keySet().retainAll(unused);
        for (UnusedVersion version : unused) {
            long since = unusedNanos.computeIfAbsent(version, unknown -> clock.nanos());
            if (clock.nanos() - since > UNUSED.toNanos()) {
                unusedNanos.put(version, clock.nanos());
                control.submit(new RetireVersion(version.service(), version.version(), 0), COMMAND_DEADLINE);
            }
        }
    }

    /** A version in service that no known target has. */
    private record UnusedVersion(String service, String version) {}
}
