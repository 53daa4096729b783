package org.basilrill.coordination.control;

import java.time.Duration;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.Scheduler;
import org.basilrill.state.codec.ThriftCodec;
import org.basilrill.thrift.control.ControlMessage;

/**
 * Sends and receives the messages of subject {@code CONTROL} for the client and, on a replica, the server of one
 * instance. Messages to the instance itself go through the scheduler, so the channel need not support loopback. Thread
 * safe.
 */
public final class ControlEndpoint implements PeerHandler {
    private final InstanceId self;
    private final PeerChannel channel;
    private final Scheduler scheduler;
    private volatile Optional<MessageHandler> client = Optional.empty();
    private volatile Optional<MessageHandler> server = Optional.empty();

    public ControlEndpoint(InstanceId self, PeerChannel channel, Scheduler scheduler) {
        this.self = self;
        this.channel = channel;
        this.scheduler = scheduler;
    }

    @Override
    public void received(InstanceId sender, byte[] payload) {
        ControlMessage message = ThriftCodec.decode(ControlMessage::new, payload);
        if (!message.isSet()) {
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "the message has an unknown kind");
        }
        try {
            recipient(message).ifPresent(handler -> handler.handle(sender, message));
        } catch (BasilrillException exception) {
            throw exception.code() == ErrorCode.INVALID_NAME
                    ? new BasilrillException(ErrorCode.MESSAGE_MALFORMED, exception.getMessage(), exception)
                    : exception;
        }
    }

    InstanceId self() {
        return self;
    }

    void attachClient(MessageHandler handler) {
        client = Optional.of(handler);
    }

    void attachServer(MessageHandler handler) {
        server = Optional.of(handler);
    }

    void send(InstanceId recipient, ControlMessage message) {
        byte[] payload = ThriftCodec.encode(message);
        if (recipient.equals(self)) {
            scheduler.schedule(Duration.ZERO, () -> received(self, payload));
            return;
        }
        channel.send(recipient, PeerSubject.CONTROL, payload);
    }

    private Optional<MessageHandler> recipient(ControlMessage message) {
        switch (message.getSetField()) {
            case SUBMIT_ANSWER:
            case PULL_ANSWER:
                return client;
            default:
                return server;
        }
    }

    /** Handles decoded messages. */
    @FunctionalInterface
    interface MessageHandler {
        /** Handles the message without blocking. */
        void handle(InstanceId sender, ControlMessage message);
    }
}
