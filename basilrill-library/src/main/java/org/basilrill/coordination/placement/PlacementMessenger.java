package org.basilrill.coordination.placement;

import java.time.Duration;
import java.util.Map;
import java.util.function.BiConsumer;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.Scheduler;

/**
 * Sends and receives the messages of the subject PLACEMENT; a message to this instance itself is delivered locally.
 * Thread safe; handlers are registered before the first message.
 */
public final class PlacementMessenger implements PeerHandler {
    private final InstanceId self;
    private final PeerChannel channel;
    private final PlacementMessageCodec codec;
    private final Scheduler scheduler;
    private volatile BiConsumer<InstanceId, PlacementMessage.DemandReport> demandHandler = (sender, report) -> {};
    private volatile BiConsumer<InstanceId, PlacementMessage.ReadinessReport> readinessHandler = (sender, report) -> {};

    public PlacementMessenger(InstanceId self, PeerChannel channel, PlacementMessageCodec codec, Scheduler scheduler) {
        this.self = self;
        this.channel = channel;
        this.codec = codec;
        this.scheduler = scheduler;
    }

    /** Registers the handler for demand reports; without one, they are ignored. */
    public void onDemand(BiConsumer<InstanceId, PlacementMessage.DemandReport> handler) {
        demandHandler = handler;
    }

    /** Registers the handler for readiness reports; without one, they are ignored. */
    void onReadiness(BiConsumer<InstanceId, PlacementMessage.ReadinessReport> handler) {
        readinessHandler = handler;
    }

    /** Reports to an instance the minimum time until models become ready for its waiting requests. */
    public void sendReadiness(InstanceId recipient, Map<ModelId, Duration> untilReady) {
        send(recipient, new PlacementMessage.ReadinessReport(untilReady));
    }

    void send(InstanceId recipient, PlacementMessage message) {
        if (recipient.equals(self)) {
            scheduler.schedule(Duration.ZERO, () -> handle(self, message));
        } else {
            channel.send(recipient, PeerSubject.PLACEMENT, codec.encode(message));
        }
    }

    @Override
    public void received(InstanceId sender, byte[] payload) {
        handle(sender, codec.decode(payload));
    }

    private void handle(InstanceId sender, PlacementMessage message) {
        if (message instanceof PlacementMessage.DemandReport report) {
            demandHandler.accept(sender, report);
        } else if (message instanceof PlacementMessage.ReadinessReport report) {
            readinessHandler.accept(sender, report);
        }
    }
}
