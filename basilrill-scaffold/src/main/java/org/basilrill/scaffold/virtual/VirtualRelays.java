package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import org.basilrill.api.InstanceId;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.membership.RelayAccess;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.caller.RunningRequest;
import org.basilrill.protocol.relay.RelayService;
import org.basilrill.protocol.relay.TargetAccess;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.protocol.target.TargetConnector.Call;
import org.basilrill.protocol.target.TargetConnector.Failure;
import org.basilrill.protocol.target.TargetConnector.FailureKind;

/** Connections between instances and the relays of others, addressed by the names of the instances. Not thread safe. */
final class VirtualRelays {
    private static final Duration ONE_WAY_DELAY = Duration.ofMillis(1);

    private final Function<InstanceId, Optional<Relay>> running;
    /** Numbers the tokens, as each process has its own. */
    private int ports;

    /**
     * Creates the connections.
     *
     * @param running returns the relay of an instance if its process is running
     */
    VirtualRelays(Function<InstanceId, Optional<Relay>> running) {
        this.running = running;
    }

    /**
     * The relay of a process.
     *
     * @param alive whether the process is still running
     */
    record Relay(RelayService service, BooleanSupplier alive) {}

    /** Returns the port of one process. */
    TargetAccess.Port port(InstanceId self, BooleanSupplier alive, Scheduler scheduler) {
        return new TargetAccess.Port(
                new RelayAccess(self.value(), "token " + ports++),
                (address, request, freshConnection, listener) ->
                        new Connection(alive, scheduler, listener).open(new InstanceId(address), request));
    }

    /** One request to a relay and its response. */
    private final class Connection implements Call, CallerStream {
        private final BooleanSupplier clientAlive;
        private final Scheduler scheduler;
        private final TargetConnector.Listener listener;
        private Optional<RunningRequest> request = Optional.empty();
        private boolean closed;
        private int unreportedBytes;

        Connection(BooleanSupplier clientAlive, Scheduler scheduler, TargetConnector.Listener listener) {
            this.clientAlive = clientAlive;
            this.scheduler = scheduler;
            this.listener = listener;
        }

        Call open(InstanceId address, TargetConnector.Request message) {
            scheduler.schedule(ONE_WAY_DELAY, () -> {
                Optional<Relay> relay = running.apply(address);
                if (relay.isEmpty()) {
                    fail(FailureKind.UNREACHABLE);
                } else if (!closed && listener.maySend()) {
                    start(relay.get(), message);
                    watch(relay.get());
                }
            });
            return this;
        }

        private void start(Relay relay, TargetConnector.Request message) {
            String[] pathAndQuery = message.pathAndQuery().split("\\?", 2);
            Optional<String> query = pathAndQuery.length == 2 ? Optional.of(pathAndQuery[1]) : Optional.empty();
            RequestHead head = new RequestHead(message.method(), pathAndQuery[0], query, message.headers());
            request = Optional.of(relay.service().start(head, message.body(), this));
            reportWritten(0);
        }

        /** Closes the connection once the process of the relay has ended. */
        private void watch(Relay relay) {
            if (!relay.alive().getAsBoolean()) {
                fail(FailureKind.CONNECTION_LOST);
            } else if (!closed) {
                scheduler.schedule(ONE_WAY_DELAY, () -> watch(relay));
            }
        }

        @Override
        public void start(ResponseHead head) {
            deliver(() -> listener.headReceived(head));
        }

        @Override
        public void write(byte[] bytes) {
            deliver(() -> listener.bodyReceived(bytes));
            reportWritten(bytes.length);
        }

        @Override
        public void end() {
            deliver(() -> {
                closed = true;
                listener.responseCompleted();
            });
        }

        @Override
        public void abort() {
            deliver(() -> fail(FailureKind.CONNECTION_LOST));
        }

        @Override
        public void extendWindow(int bytes) {
            // Responses are shorter than the flow-control window.
        }

        @Override
        public void cancel() {
            closed = true;
            scheduler.schedule(ONE_WAY_DELAY, () -> request.ifPresent(RunningRequest::callerDisconnected));
        }

        private void reportWritten(int bytes) {
            unreportedBytes += bytes;
            if (request.isPresent() && unreportedBytes > 0) {
                int written = unreportedBytes;
                unreportedBytes = 0;
                request.get().bytesWritten(written);
            }
        }

        private void deliver(Runnable event) {
            scheduler.schedule(ONE_WAY_DELAY, () -> {
                if (!closed && clientAlive.getAsBoolean()) {
                    event.run();
                }
            });
        }

        private void fail(FailureKind kind) {
            if (!closed && clientAlive.getAsBoolean()) {
                closed = true;
                listener.failed(new Failure(kind, false, "the simulated relay is gone"));
            }
        }
    }
}
