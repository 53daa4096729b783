package org.basilrill.protocol.target;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.datatype.jdk8.Jdk8Module;
import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.target.TargetAnnouncement;

/** Parses and formats the announcements of targets as JSON. Stateless and thread safe. */
public final class AnnouncementCodec {
    private static final String ENGINE = "engine";
    private static final String SERVICE = "service";

    /** Accepts only literal IP addresses, so that no announcement causes a name lookup. */
    private static final Pattern ADDRESS =
            Pattern.compile("[0-9]{1,3}(?:\\.[0-9]{1,3}){3}|[0-9a-fA-F]*:[0-9a-fA-F:.]+");

    private static final int MAXIMUM_PORT = 65_535;
    private static final long MAXIMUM_TIME_TO_LIVE_MILLIS = 60_000;
    private static final int MAXIMUM_SLOTS = 100_000;

    private static final ObjectMapper MAPPER = JsonMapper.builder()
            .addModule(new Jdk8Module())
            .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
            .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
            .enable(DeserializationFeature.FAIL_ON_NULL_FOR_PRIMITIVES)
            .build();

    private AnnouncementCodec() {}

    /**
     * Parses an announcement.
     *
     * @throws BasilrillException with {@code MALFORMED_REQUEST} if the JSON or a value in it is not valid, and {@code
     *     INVALID_NAME} if the name of a target or a model is not valid
     */
    public static TargetAnnouncement read(byte[] json) {
        Message message;
        try {
            message = MAPPER.readValue(json, Message.class);
        } catch (IOException exception) {
            throw new BasilrillException(ErrorCode.MALFORMED_REQUEST, "the announcement is not valid JSON", exception);
        }
        require(message != null, "the announcement is empty");
        return message.toAnnouncement();
    }

    /** Formats an announcement. This is the inverse of {@link #read}, used by targets and tests. */
    public static byte[] write(TargetAnnouncement announcement) {
        try {
            return MAPPER.writeValueAsBytes(Message.of(announcement));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("every announcement can be written as JSON", exception);
        }
    }

    private static void require(boolean condition, String detail) {
        if (!condition) {
            throw new BasilrillException(ErrorCode.MALFORMED_REQUEST, detail);
        }
    }

    /** JSON form of an announcement. */
    private record Message(
            String id,
            long incarnation,
            long sequence,
            String kind,
            String service,
            String host,
            int port,
            String dataCentre,
            long timeToLiveMs,
            long memoryBytes,
            List<Content> contents,
            List<String> roles,
            int slots,
            Load load,
            boolean enforcesFencing,
            boolean leaving) {
        TargetAnnouncement toAnnouncement() {
            require(kind == null || kind.equals(ENGINE) || kind.equals(SERVICE), "kind must be engine or service");
            require(SERVICE.equals(kind) == (service != null), "a service must name its service, an engine must not");
            require(host != null && ADDRESS.matcher(host).matches(), "host must be an IP address");
            require(port > 0 && port <= MAXIMUM_PORT, "port must be from 1 to 65535");
            require(
                    timeToLiveMs > 0 && timeToLiveMs <= MAXIMUM_TIME_TO_LIVE_MILLIS,
                    "time_to_live_ms must be from 1 to " + MAXIMUM_TIME_TO_LIVE_MILLIS);
            require(memoryBytes >= 0, "memory_bytes must not be negative");
            require(slots >= 0 && slots <= MAXIMUM_SLOTS, "slots must be from 0 to " + MAXIMUM_SLOTS);
            require(load == null || load.running >= 0 && load.waiting >= 0, "load must not be negative");
            return new TargetAnnouncement(
                    new TargetId(id),
                    incarnation,
                    sequence,
                    host,
                    port,
                    dataCentre == null ? "" : dataCentre,
                    Optional.ofNullable(service),
                    timeToLiveMs,
                    memoryBytes,
                    contentsById(),
                    rolesByName(),
                    slots,
                    load == null
                            ? new TargetAnnouncement.Load(0, 0)
                            : new TargetAnnouncement.Load(load.running, load.waiting),
                    enforcesFencing,
                    leaving,
                    Optional.empty(),
                    0);
        }

        static Message of(TargetAnnouncement announcement) {
            List<Content> contents = new ArrayList<>();
            announcement
                    .contents()
                    .forEach((model, loaded) -> contents.add(
                            new Content(model.value(), loaded.version(), loaded.memoryBytes(), loaded.ready())));
            return new Message(
                    announcement.id().value(),
                    announcement.incarnation(),
                    announcement.sequence(),
                    announcement.service().isPresent() ? SERVICE : ENGINE,
                    announcement.service().orElse(null),
                    announcement.host(),
                    announcement.port(),
                    announcement.dataCentre(),
                    announcement.timeToLiveMillis(),
                    announcement.memoryBytes(),
                    contents,
                    announcement.roles().stream()
                            .map(role -> role.name().toLowerCase(Locale.ROOT))
                            .toList(),
                    announcement.slots(),
                    new Load(announcement.load().running(), announcement.load().waiting()),
                    announcement.enforcesFencing(),
                    announcement.leaving());
        }

        private Map<ModelId, TargetAnnouncement.LoadedModel> contentsById() {
            Map<ModelId, TargetAnnouncement.LoadedModel> models = new HashMap<>();
            for (Content content : contents == null ? List.<Content>of() : contents) {
                require(content != null && content.memoryBytes >= 0, "contents must have memory_bytes of 0 or more");
                TargetAnnouncement.LoadedModel previous = models.put(
                        new ModelId(content.model),
                        new TargetAnnouncement.LoadedModel(content.version, content.memoryBytes, content.ready));
                require(previous == null, "contents must name each model once");
            }
            return models;
        }

        private Set<TargetAnnouncement.Role> rolesByName() {
            Set<TargetAnnouncement.Role> parsedRoles = new HashSet<>();
            for (String name : roles == null ? List.<String>of() : roles) {
                require("prefill".equals(name) || "decode".equals(name), "roles must be prefill or decode");
                parsedRoles.add(TargetAnnouncement.Role.valueOf(name.toUpperCase(Locale.ROOT)));
            }
            return parsedRoles;
        }
    }

    /** JSON form of one model or adapter. */
    private record Content(String model, int version, long memoryBytes, boolean ready) {}

    /** JSON form of the load. */
    private record Load(int running, int waiting) {}
}
