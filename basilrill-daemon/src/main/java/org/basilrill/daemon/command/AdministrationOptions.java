package org.basilrill.daemon.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.daemon.TextFiles;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.transport.http.AdministrationClient;
import org.basilrill.transport.peer.PeerAddress;

/** Command line options shared by the commands that use the administration API. Stateless. */
final class AdministrationOptions {
    private static final String ADDRESS = "address";
    private static final String KEY_FILE = "key-file";
    private static final String KEY_VARIABLE = "BASILRILL_OPERATOR_KEY";
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private AdministrationOptions() {}

    static Options create() {
        return new Options()
                .addOption(Option.builder()
                        .longOpt(ADDRESS)
                        .hasArg()
                        .required()
                        .desc("caller address of an instance, IP:port")
                        .build())
                .addOption(Option.builder()
                        .longOpt(KEY_FILE)
                        .hasArg()
                        .desc("file that contains the operator's key; without it the key is read from " + KEY_VARIABLE)
                        .build());
    }

    static AdministrationClient connect(CommandLine arguments) {
        String address = arguments.getOptionValue(ADDRESS);
        return PeerAddress.parse(address)
                .map(parsed -> new AdministrationClient(parsed, operatorKey(arguments), TIMEOUT))
                .orElseThrow(() -> new UsageException("address \"" + address + "\" is not an IP address with a port"));
    }

    /** Returns the body of a successful response; for any other response, throws the failure that it reports. */
    static String bodyOf(PlainAnswer response) {
        String body = new String(response.body(), StandardCharsets.UTF_8);
        if (response.status() >= 300) {
            throw failureOf(response.status(), body);
        }
        return body;
    }

    private static BasilrillException failureOf(int status, String body) {
        try {
            JsonNode error = MAPPER.readTree(body).path("error");
            if (error.path("message").isTextual()) {
                return new BasilrillException(
                        ErrorCode.valueOf(error.path("code").asText()),
                        error.path("message").asText());
            }
        } catch (JsonProcessingException | IllegalArgumentException exception) {
            // The body is not an error of this version of the API; it is shown unchanged.
        }
        return new BasilrillException(ErrorCode.REQUEST_REFUSED, "status " + status + ": " + body.strip());
    }

    private static String operatorKey(CommandLine arguments) {
        if (!arguments.hasOption(KEY_FILE)) {
            String key = System.getenv(KEY_VARIABLE);
            if (key == null || key.isBlank()) {
                throw new UsageException(
                        "the operator's key is missing: pass --" + KEY_FILE + " or set " + KEY_VARIABLE);
            }
            return key.strip();
        }
        return TextFiles.read("key file", Path.of(arguments.getOptionValue(KEY_FILE)))
                .strip();
    }
}
