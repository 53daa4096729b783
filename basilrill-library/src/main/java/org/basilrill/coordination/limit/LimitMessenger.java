package org.basilrill.coordination.limit;

import java.time.Duration;
import java.util.function.BiConsumer;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.limit.LimitMessage.PermitIssue;
import org.basilrill.coordination.limit.LimitMessage.PermitReport;

/**
 * Sends and receives the messages of the subject TARGET_LIMIT; a message to this instance itself is delivered locally.
 * Thread safe; handlers are registered before the first message.
 */
public final class LimitMessenger implements PeerHandler {
    private final InstanceId self;
    private final PeerChannel channel;
    private final LimitMessageCodec codec;
    private final Scheduler scheduler;
    private volatile BiConsumer<InstanceId, PermitReport> reportHandler = (sender, report) -> {};
    private volatile BiConsumer<InstanceId, PermitIssue> issueHandler = (sender, issue) -> {};

    public LimitMessenger(InstanceId self, PeerChannel channel, LimitMessageCodec codec, Scheduler scheduler) {
        this.self = self;
        this.channel = channel;
        this.codec = codec;
        this.scheduler = scheduler;
    }

    /** Registers the handler for reports; without one, they are ignored. */
    void onReport(BiConsumer<InstanceId, PermitReport> handler) {
        reportHandler = handler;
    }

    /** Registers the handler for issued permits; without one, they are ignored. */
    void onIssue(BiConsumer<InstanceId, PermitIssue> handler) {
        issueHandler = handler;
    }

    void send(InstanceId recipient, LimitMessage message) {
        if (recipient.equals(self)) {
            scheduler.schedule(Duration.ZERO, () -> handle(self, message));
        } else {
            channel.send(recipient, PeerSubject.TARGET_LIMIT, codec.encode(message));
        }
    }

    @Override
    public void received(InstanceId sender, byte[] payload) {
        handle(sender, codec.decode(payload));
    }

    private void handle(InstanceId sender, LimitMessage message) {
        if (message instanceof PermitReport report) {
            reportHandler.accept(sender, report);
        } else if (message instanceof PermitIssue issue) {
            issueHandler.accept(sender, issue);
        }
    }
}
