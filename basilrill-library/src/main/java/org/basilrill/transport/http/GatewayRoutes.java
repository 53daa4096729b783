package org.basilrill.transport.http;

import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.json.MetricsModule;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.flogger.FluentLogger;
import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.protocol.administration.AdministrationHandler;
import org.basilrill.protocol.caller.InstanceListing;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.caller.PlainRoutes;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.target.AnnouncementCodec;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.target.TargetAnnouncement;

/** Routes that this instance serves itself: health, metrics, announcements, administration. Thread safe. */
public final class GatewayRoutes implements PlainRoutes {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final InstanceListing instances;
    private final Consumer<TargetAnnouncement> announcements;
    private final Optional<KeyHash> announcementKey;
    private final AdministrationHandler administration;
    private final MetricRegistry metrics;
    private final BooleanSupplier ready;
    private final ObjectMapper mapper =
            new ObjectMapper().registerModule(new MetricsModule(TimeUnit.SECONDS, TimeUnit.MILLISECONDS, false));

    /**
     * Creates the routes.
     *
     * @param announcements receives the announcements of targets
     * @param announcementKey hash of the key that targets must send; if it is empty, no key is required
     * @param ready whether the instance accepts new requests
     */
    public GatewayRoutes(
            InstanceListing instances,
            Consumer<TargetAnnouncement> announcements,
            Optional<KeyHash> announcementKey,
            AdministrationHandler administration,
            MetricRegistry metrics,
            BooleanSupplier ready) {
        this.instances = instances;
        this.announcements = announcements;
        this.announcementKey = announcementKey;
        this.administration = administration;
        this.metrics = metrics;
        this.ready = ready;
    }

    @Override
    public CompletableFuture<PlainAnswer> answer(RequestHead head, byte[] body) {
        if (AdministrationHandler.matches(head.path())) {
            return administration.answer(head, body);
        }
        try {
            return CompletableFuture.completedFuture(respondSynchronously(head, body));
        } catch (BasilrillException rejection) {
            return CompletableFuture.failedFuture(rejection);
        }
    }

    private PlainAnswer respondSynchronously(RequestHead head, byte[] body) {
        return switch (head.path()) {
            case "/v1/instances" -> {
                requireMethod(head, "GET");
                yield instances.answer();
            }
            case "/v1/targets/announce" -> {
                requireMethod(head, "POST");
                yield receiveAnnouncement(head, body);
            }
            case "/healthz" -> {
                requireMethod(head, "GET");
                yield text(200, "alive\n");
            }
            case "/readyz" -> {
                requireMethod(head, "GET");
                yield ready.getAsBoolean() ? text(200, "ready\n") : text(503, "not ready\n");
            }
            case "/metrics" -> {
                requireMethod(head, "GET");
                yield metrics();
            }
            default -> throw new BasilrillException(ErrorCode.NOT_FOUND, "no route for " + head.path());
        };
    }

    private PlainAnswer receiveAnnouncement(RequestHead head, byte[] body) {
        try {
            requireAnnouncementKey(head);
            announcements.accept(AnnouncementCodec.read(body));
        } catch (BasilrillException rejection) {
            LOGGER.atWarning().log("%s: %s", LogEvent.ANNOUNCEMENT_REJECTED, rejection.getMessage());
            throw rejection;
        }
        ObjectNode response = mapper.createObjectNode();
        instances.otherAddresses().forEach(response.putArray("instances")::add);
        return PlainAnswer.json(200, response.toString());
    }

    private void requireAnnouncementKey(RequestHead head) {
        if (announcementKey.isEmpty()) {
            return;
        }
        String key = head.key()
                .orElseThrow(() -> new BasilrillException(
                        ErrorCode.KEY_MISSING, "send the key for announcements as Authorization: Bearer"));
        if (!KeyHash.of(key).equals(announcementKey.get())) {
            throw new BasilrillException(ErrorCode.KEY_UNKNOWN, "the key for announcements is not the configured one");
        }
    }

    private PlainAnswer metrics() {
        try {
            return PlainAnswer.of(200, PlainAnswer.JSON, mapper.writeValueAsBytes(metrics));
        } catch (JsonProcessingException exception) {
            throw new BasilrillException(ErrorCode.INTERNAL, "the metrics cannot be serialised", exception);
        }
    }

    private static PlainAnswer text(int status, String text) {
        return PlainAnswer.of(status, PlainAnswer.TEXT, text.getBytes(StandardCharsets.UTF_8));
    }

    private static void requireMethod(RequestHead head, String method) {
        if (!head.method().equals(method)) {
            throw new BasilrillException(ErrorCode.METHOD_NOT_ALLOWED, head.method() + " is not supported here");
        }
    }
}
