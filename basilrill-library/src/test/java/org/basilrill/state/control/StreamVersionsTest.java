package org.basilrill.state.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.basilrill.state.control.ControlCommand.FindStream;
import org.basilrill.state.control.ControlCommand.RecordStreams;
import org.basilrill.state.control.ControlCommand.RegisterVersion;
import org.basilrill.state.control.ControlCommand.RetireVersion;
import org.basilrill.state.control.ControlCommand.StreamRecord;
import org.junit.jupiter.api.Test;

/** Tests which software version a stream is attributed to. */
class StreamVersionsTest {
    private static final String SERVICE = "pool";
    private static final long WINDOW_MILLIS = 60_000;
    private static final long START = 1_000_000;

    private final StreamVersions versions = new StreamVersions();

    /** Guards against refusing all streams without a record, although only one version can have begun them. */
    @Test
    void aStreamWithoutARecordBeganAtTheOnlyVersion() {
        register("v1");
        assertThat(find("unknown", START), is(Optional.of("v1")));
    }

    /** Guards against a stream that is attributed to the new version because its record is missing. */
    @Test
    void aStreamWithoutARecordIsUnknownWhileThereAreSeveralVersions() {
        register("v1");
        register("v2");
        assertThat(find("unknown", START), is(Optional.empty()));
    }

    /** Guards against a version that is forgotten while callers may still resume its streams. */
    @Test
    void aRetiredVersionCountsUntilItsStreamsHaveEnded() {
        register("v1");
        register("v2");
        versions.retire(new RetireVersion(SERVICE, "v1", START), START);
        assertThat(find("unknown", START + WINDOW_MILLIS - 1), is(Optional.empty()));
        assertThat(find("unknown", START + WINDOW_MILLIS), is(Optional.of("v2")));
    }

    /** Guards against records that are lost, replaced by later ones, or taken for those of another service. */
    @Test
    void aRecordedStreamKeepsItsVersion() {
        register("v1");
        register("v2");
        record("r", "v1");
        record("r", "v2");
        versions.retire(new RetireVersion(SERVICE, "v1", START), START);
        assertThat(find("r", START + 10 * WINDOW_MILLIS), is(Optional.of("v1")));
        assertThat(
                versions.find(new FindStream(Optional.of("r"), "other", WINDOW_MILLIS, START), START),
                is(Optional.empty()));
    }

    /** Guards against a rollback after which the old version counts as retired. */
    @Test
    void aVersionThatReturnsIsInServiceAgain() {
        register("v1");
        register("v2");
        versions.retire(new RetireVersion(SERVICE, "v1", START), START);
        register("v1");
        versions.retire(new RetireVersion(SERVICE, "v2", START + 1), START + 1);
        assertThat(versions.view(), is(List.of(new ServiceVersions(SERVICE, Set.of("v1"), true))));
        assertThat(find("unknown", START + 2), is(Optional.empty()));
    }

    /** Guards against three versions in a row, the first of which is dropped when the second is retired. */
    @Test
    void eachOfThreeVersionsCountsForItsOwnTime() {
        register("v1");
        register("v2");
        versions.retire(new RetireVersion(SERVICE, "v1", START), START);
        register("v3");
        versions.retire(new RetireVersion(SERVICE, "v2", START + 1000), START + 1000);
        assertThat(find("unknown", START + WINDOW_MILLIS + 500), is(Optional.empty()));
        assertThat(find("unknown", START + WINDOW_MILLIS + 1000), is(Optional.of("v3")));
    }

    /** Guards against a replica that restarts from a snapshot without the versions or records. */
    @Test
    void theSnapshotKeepsVersionsAndStreams() {
        register("v1");
        register("v2");
        record("r", "v1");
        StreamVersions restored = new StreamVersions();
        restored.restore(versions.versionState(), versions.streamState());
        assertThat(restored.view(), is(versions.view()));
        assertThat(restored.streamState(), is(versions.streamState()));
        assertThat(restored.versionState(), is(versions.versionState()));
    }

    /** Guards against records that expire at once because the first command with a time follows them. */
    @Test
    void theControlLogFindsAStreamThatWasRecordedBefore() {
        ControlStateMachine machine = new ControlStateMachine();
        long now = 1_700_000_000_000L;
        machine.apply(1, CommandCodec.encode(new RegisterVersion(SERVICE, "v1")));
        machine.apply(2, CommandCodec.encode(new RegisterVersion(SERVICE, "v2")));
        machine.apply(3, CommandCodec.encode(new RecordStreams(List.of(new StreamRecord("r", SERVICE, "v1")), now)));
        FindStream find = new FindStream(Optional.of("r"), SERVICE, WINDOW_MILLIS, now + 1);
        assertThat(
                ResultCodec.decode(machine.apply(4, CommandCodec.encode(find))),
                is(new ControlResult.StreamVersion(Optional.of("v1"))));
    }

    /** Guards against records that fill the memory. */
    @Test
    void theNumberOfRecordsIsBounded() {
        for (int number = 0; number < 70_000; number++) {
            record("r-" + number, "v1");
        }
        assertThat(versions.streamState().size(), is(65_536));
    }

    private void register(String version) {
        versions.register(new RegisterVersion(SERVICE, version));
    }

    private void record(String requestId, String version) {
        versions.record(new RecordStreams(List.of(new StreamRecord(requestId, SERVICE, version)), START), START);
    }

    private Optional<String> find(String requestId, long nowMillis) {
        return versions.find(new FindStream(Optional.of(requestId), SERVICE, WINDOW_MILLIS, nowMillis), nowMillis);
    }
}
