package org.basilrill.daemon.settings;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.coordination.limit.ColdLimits;
import org.basilrill.daemon.settings.SettingsFault.Kind;
import org.junit.jupiter.api.Test;

/** Guards against accepting invalid settings, and against faults reported without line or field. */
class SettingsReaderTest {
    private static final String VALID = """
            // Settings of an entry instance.
            {
              "instance": "entry-4", /* unique */
              "dataCentre": "dc-1",
              "callerAddress": "127.0.0.1:8080",
              "peerAddress": "127.0.0.1:9080",
              "roles": ["entry"],
              "replicas": {"entry-1": "127.0.0.1:9081"},
              "drainLimitMillis": 5000,
            }
            """;

    @Test
    void commentsAndATrailingCommaAreAccepted() {
        Settings settings = SettingsReader.parse("a.json", VALID);
        assertThat(settings.roles(), is(Set.of(Settings.Role.ENTRY)));
        assertThat(settings.drainLimit(), is(Duration.ofSeconds(5)));
        assertThat(settings.isReplica(), is(false));
    }

    @Test
    void theExampleSettingsAreValid() {
        Settings settings = SettingsReader.read(Path.of("../examples/instance.json"));
        assertThat(settings.isReplica(), is(true));
    }

    @Test
    void allFaultsAreReportedTogetherWithLineAndField() {
        String text = VALID.replace("127.0.0.1:8080", "localhost")
                .replace("\"entry\"]", "\"router\"]")
                .replace("\"dataCentre\"", "\"datacenter\"")
                .replace("5000", "\"soon\"");
        SettingsException failure = assertThrows(SettingsException.class, () -> SettingsReader.parse("a.json", text));
        assertThat(
                failure.faults().stream().map(SettingsFault::field).toList(),
                contains("dataCentre", "datacenter", "callerAddress", "roles", "drainLimitMillis"));
        assertThat(
                failure.faults().stream().map(SettingsFault::kind).toList(),
                is(List.of(
                        Kind.MISSING_FIELD,
                        Kind.UNKNOWN_FIELD,
                        Kind.INVALID_VALUE,
                        Kind.INVALID_VALUE,
                        Kind.WRONG_TYPE)));
        assertThat(failure.getMessage(), containsString("a.json:5: field \"callerAddress\": must be an IP address"));
    }

    /** Guards against an acknowledgement that is given by a bound other than the deployment's. */
    @Test
    void theTimeInWhichRulesHaveToBeInForceIsReadAndHasADefault() {
        String stated = VALID.replace("\"drainLimitMillis\": 5000,", "\"rulesInForceMillis\": 2500,");
        Settings settings = SettingsReader.parse("a.json", stated);
        assertThat(settings.interfaces().rulesInForceWithin(), is(Duration.ofMillis(2_500)));
        Settings withDefault = SettingsReader.parse("a.json", VALID);
        assertThat(withDefault.interfaces().rulesInForceWithin(), is(Duration.ofSeconds(3)));
    }

    /** Guards against a table of regions that is read wrongly, or in part. */
    @Test
    void regionsOfDataCentresAreRead() {
        assertThat(regions(""), is(Map.of()));
        assertThat(regions("\"region\": \"eu\","), is(Map.of("dc-1", "eu")));
        assertThat(regions("\"region\": \"eu\", \"regions\": {\"dc-2\": \"us\"},"), is(Map.of("dc-2", "us")));
        for (String wrong : List.of("\"regions\": [\"eu\"],", "\"regions\": {\"dc-1\": 1},", "\"region\": \"\",")) {
            assertThrows(SettingsException.class, () -> regions(wrong));
        }
    }

    /** Guards against instances that forward messages without being asked to. */
    @Test
    void messagesAreForwardedOnlyIfTheSettingsSaySo() {
        assertThat(SettingsReader.parse("a.json", VALID).interfaces().peerForwarding(), is(false));
        String stated = VALID.replace("\"roles\"", "\"peerForwarding\": true, \"roles\"");
        assertThat(SettingsReader.parse("a.json", stated).interfaces().peerForwarding(), is(true));
    }

    private static Map<String, String> regions(String fields) {
        return SettingsReader.parse("a.json", VALID.replace("\"roles\"", fields + "\"roles\""))
                .interfaces()
                .regions()
                .regions();
    }

    @Test
    void theMetricsAddressIsOptionalAndValidated() {
        assertThat(SettingsReader.parse("a.json", VALID).interfaces().metricsAddress(), is(Optional.empty()));
        String stated = VALID.replace("\"roles\"", "\"metricsAddress\": \"127.0.0.1:9464\", \"roles\"");
        assertThat(
                SettingsReader.parse("a.json", stated).interfaces().metricsAddress(),
                is(Optional.of(new InetSocketAddress("127.0.0.1", 9464))));
        String wrong = stated.replace("9464", "94640");
        SettingsException failure = assertThrows(SettingsException.class, () -> SettingsReader.parse("a.json", wrong));
        assertThat(failure.getMessage(), containsString("field \"metricsAddress\": port 94640 is not between"));
    }

    /** Guards against cold targets that are limited in a deployment whose settings name no bound. */
    @Test
    void theBoundOfColdTargetsIsOptional() {
        assertThat(SettingsReader.parse("a.json", VALID).interfaces().coldLimits(), is(Optional.empty()));
        String stated = VALID.replace("\"roles\"", "\"coldRateOverage\": 1.5, \"coldRateSlack\": 5, \"roles\"");
        assertThat(
                SettingsReader.parse("a.json", stated).interfaces().coldLimits(),
                is(Optional.of(new ColdLimits(1.5, 5))));
    }

    @Test
    void aReplicaWithoutADataFolderIsRejected() {
        String text = VALID.replace("[\"entry\"]", "[\"entry\", \"replica\"]");
        SettingsException failure = assertThrows(SettingsException.class, () -> SettingsReader.parse("a.json", text));
        assertThat(failure.faults().stream().map(SettingsFault::field).toList(), contains("dataFolder", "replicas"));
    }

    @Test
    void invalidJsonIsReportedWithItsLine() {
        SettingsException failure =
                assertThrows(SettingsException.class, () -> SettingsReader.parse("a.json", "{\n\"a\": 1\n\"b\": 2}"));
        assertThat(failure.faults().get(0).line(), is(3));
        assertThat(failure.faults().get(0).kind(), is(Kind.NOT_JSON));
    }

    @Test
    void aMissingFileFailsWithFileUnreadable() {
        BasilrillException failure =
                assertThrows(BasilrillException.class, () -> SettingsReader.read(Path.of("no-such-file.json")));
        assertThat(failure.code(), is(ErrorCode.FILE_UNREADABLE));
    }
}
