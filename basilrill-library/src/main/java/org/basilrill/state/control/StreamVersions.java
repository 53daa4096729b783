package org.basilrill.state.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.basilrill.state.control.ControlCommand.FindStream;
import org.basilrill.state.control.ControlCommand.RecordStreams;
import org.basilrill.state.control.ControlCommand.RegisterVersion;
import org.basilrill.state.control.ControlCommand.RetireVersion;
import org.basilrill.state.control.ControlCommand.StreamRecord;
import org.basilrill.thrift.control.StreamState;
import org.basilrill.thrift.control.VersionState;

/**
 * Knows which software versions of a service may have begun a stream, and which version began which stream while there
 * were several. No stream begins at a version before it is registered, so a stream without a record began at the only
 * version of its time, or its version is unknown. Not thread safe.
 */
final class StreamVersions {
    /** Longer than any stream, so that a retired version is remembered while one of its streams may be resumed. */
    private static final long RETENTION_MILLIS = Duration.ofHours(1).toMillis();

    /** Streams that begin in a minute at twice the design rate of 3,000 a second do not fit; the oldest are dropped. */
    private static final int MAXIMUM_STREAMS = 65_536;

    private static final long IN_SERVICE = Long.MAX_VALUE;

    /** Time of retirement by service and version. */
    private final Map<String, TreeMap<String, Long>> versions = new TreeMap<>();

    /** Streams by the id of the request that brought the first event, oldest first. */
    private final LinkedHashMap<String, Stream> streams = new LinkedHashMap<>();

    void register(RegisterVersion command) {
        versions.computeIfAbsent(command.service(), unused -> new TreeMap<>()).put(command.version(), IN_SERVICE);
    }

    void retire(RetireVersion command, long nowMillis) {
        Optional.ofNullable(versions.get(command.service()))
                .ifPresent(known ->
                        known.computeIfPresent(command.version(), (version, retired) -> Math.min(retired, nowMillis)));
    }

    void record(RecordStreams command, long nowMillis) {
        for (StreamRecord stream : command.streams()) {
            streams.putIfAbsent(stream.requestId(), new Stream(stream.service(), stream.version(), nowMillis));
        }
        while (streams.size() > MAXIMUM_STREAMS) {
            streams.remove(streams.keySet().iterator().next());
        }
    }

    /** Returns the version that began a stream; empty if it is unknown. */
    Optional<String> find(FindStream command, long nowMillis) {
        Optional<String> recorded = command.firstRequestId()
                .map(streams::get)
                .filter(stream -> stream.service().equals(command.service()))
                .map(Stream::version);
        if (recorded.isPresent()) {
            return recorded;
        }
        List<String> possible = versions.getOrDefault(command.service(), new TreeMap<>()).entrySet().stream()
                .filter(entry -> entry.getValue() > nowMillis - command.windowMillis())
                .map(Map.Entry::getKey)
                .toList();
        return possible.size() == 1 ? Optional.of(possible.get(0)) : Optional.empty();
    }

    /** Drops what concerns no stream any more; returns whether a version was dropped. */
    boolean expire(long nowMillis) {
        long oldest = nowMillis - RETENTION_MILLIS;
        while (!streams.isEmpty() && streams.values().iterator().next().recordedMillis() < oldest) {
            streams.remove(streams.keySet().iterator().next());
        }
        boolean dropped = false;
        for (TreeMap<String, Long> known : versions.values()) {
            dropped |= known.values().removeIf(retired -> retired < oldest);
        }
        return dropped;
    }

    List<ServiceVersions> view() {
        return versions.entrySet().stream()
                .map(entry -> new ServiceVersions(
                        entry.getKey(),
                        inService(entry.getValue()),
                        entry.getValue().size() > 1))
                .toList();
    }

    List<VersionState> versionState() {
        List<VersionState> state = new ArrayList<>();
        versions.forEach((service, known) ->
                known.forEach((version, retired) -> state.add(new VersionState(service, version, retired))));
        return state;
    }

    List<StreamState> streamState() {
        return streams.entrySet().stream()
                .map(entry -> new StreamState(
                        entry.getKey(),
                        entry.getValue().service(),
                        entry.getValue().version(),
                        entry.getValue().recordedMillis()))
                .toList();
    }

    void restore(List<VersionState> versionState, List<StreamState> streamState) {
        versions.clear();
        versionState.forEach(state -> versions.computeIfAbsent(state.getServiceName(), unused -> new TreeMap<>())
                .put(state.getVersion(), state.getRetiredMillis()));
        streams.clear();
        streamState.forEach(state -> streams.put(
                state.getRequestId(),
                new Stream(state.getServiceName(), state.getVersion(), state.getRecordedMillis())));
    }

    private static Set<String> inService(TreeMap<String, Long> known) {
        Set<String> inService = new TreeSet<>();
        known.forEach((version, retired) -> {
            if (retired == IN_SERVICE) {
                inService.add(version);
            }
        });
        return inService;
    }

    /** The version that began a stream. */
    private record Stream(String service, String version, long recordedMillis) {}
}
