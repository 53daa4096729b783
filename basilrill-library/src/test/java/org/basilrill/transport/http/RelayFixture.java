package org.basilrill.transport.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.BindException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TargetId;
import org.basilrill.coordination.membership.FixedMembership;
import org.basilrill.coordination.membership.RelayAccess;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.instance.FakeServices;
import org.basilrill.protocol.relay.RelayService;
import org.basilrill.protocol.relay.TargetAccess;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/** An instance that reaches no target, and another one on loopback whose relay carries its exchanges. */
final class RelayFixture implements AutoCloseable {
    private static final Duration LIMIT = Duration.ofSeconds(20);
    private static final int WINDOW_BYTES = 16 * 1024;
    private static final int FIRST_RELAY_PORT = 20_000;
    private static final int RELAY_PORTS = 10_000;

    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final GatewayFixture callers = GatewayFixture.open();
    private final TargetHttpClient client;
    private final TargetAnnouncement target;
    private final InetSocketAddress relayAddress;
    private final TargetAccess relay;
    private final TargetAccess sender;
    private final HttpGateway gateway;

    RelayFixture(int targetPort) throws IOException {
        Scheduler scheduler = GatewayFixture.scheduler(timer);
        client = new TargetHttpClient(TargetHttpClient.Settings.defaults(WINDOW_BYTES), System::nanoTime, scheduler);
        target = FakeServices.target("target-0", targetPort);
        relayAddress = new InetSocketAddress(InetAddress.getLoopbackAddress(), freePort());
        relay = access("relay", client, scheduler);
        sender = access("sender", new UnreachableTargets(), scheduler);
        gateway = new HttpGateway(
                GatewaySettings.defaults(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
                        .withRelayAddress(Optional.of(relayAddress)),
                callers.coordinator(),
                GatewayFixture.NO_ROUTES,
                Optional.of(relay.service()),
                System::nanoTime,
                scheduler);
        gateway.start();
    }

    RelayService relay() {
        return relay.service();
    }

    int relayPort() {
        return relayAddress.getPort();
    }

    /** Sends a request from the instance that reaches no target. */
    Response send(TargetConnector.Request request) {
        Response response = new Response();
        response.call.complete(sender.connector().open(target, request, false, response));
        return response;
    }

    @Override
    public void close() {
        gateway.stop(Duration.ZERO).join();
        callers.close();
        client.close();
        timer.shutdownNow();
    }

    private TargetAccess access(String name, TargetConnector connector, Scheduler scheduler) {
        RelayAccess access = new RelayAccess(
                relayAddress.getAddress().getHostAddress() + ":" + relayAddress.getPort(), "token of the relay");
        return new TargetAccess(new TargetAccess.Environment(
                new InstanceId(name),
                "north",
                new FixedMembership(List.of(FixedMembership.relay("relay", access))),
                new OneTarget(),
                connector,
                new TargetAccess.Port(access, client),
                () -> {},
                refusing -> {},
                (observed, head) -> {},
                any -> false,
                target -> false,
                System::nanoTime,
                scheduler,
                new SplittableRandom(1)));
    }

    /** Returns a port that the kernel gives to no outgoing connection, as one could take it before the relay does. */
    private static int freePort() throws IOException {
        while (true) {
            int port = ThreadLocalRandom.current().nextInt(FIRST_RELAY_PORT, FIRST_RELAY_PORT + RELAY_PORTS);
            try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
                return socket.getLocalPort();
            } catch (BindException inUse) {
                // Another port may be free.
            }
        }
    }

    /** Records the response to a request. Thread safe. */
    static class Response implements TargetConnector.Listener {
        private final CompletableFuture<TargetConnector.Call> call = new CompletableFuture<>();
        private final CountDownLatch ended = new CountDownLatch(1);
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final List<TargetConnector.Failure> failures = new CopyOnWriteArrayList<>();
        private volatile Optional<ResponseHead> head = Optional.empty();
        private volatile boolean completed;

        @Override
        public boolean maySend() {
            return true;
        }

        @Override
        public void headReceived(ResponseHead received) {
            head = Optional.of(received);
        }

        @Override
        public void bodyReceived(byte[] bytes) {
            synchronized (body) {
                body.writeBytes(bytes);
                body.notifyAll();
            }
        }

        @Override
        public void responseCompleted() {
            completed = true;
            ended.countDown();
        }

        @Override
        public void failed(TargetConnector.Failure failure) {
            failures.add(failure);
            ended.countDown();
        }

        void awaitBody(String text) throws InterruptedException {
            long end = System.nanoTime() + LIMIT.toNanos();
            synchronized (body) {
                while (!body().equals(text)) {
                    if (System.nanoTime() > end) {
                        throw new IllegalStateException("received only: " + body());
                    }
                    body.wait(100);
                }
            }
        }

        void awaitEnd() throws InterruptedException {
            if (!ended.await(LIMIT.toSeconds(), TimeUnit.SECONDS)) {
                throw new IllegalStateException("the exchange did not end");
            }
        }

        void cancel() {
            call.join().cancel();
        }

        String body() {
            return body.toString(StandardCharsets.UTF_8);
        }

        Optional<ResponseHead> head() {
            return head;
        }

        Optional<String> header(String name) {
            return head.flatMap(received -> received.header(name));
        }

        List<TargetConnector.FailureKind> failures() {
            return failures.stream().map(TargetConnector.Failure::kind).toList();
        }

        /** Returns what the failures state about their causes, one line each. */
        String failureDetails() {
            return failures.stream().map(TargetConnector.Failure::detail).collect(Collectors.joining("\n"));
        }

        boolean completed() {
            return completed;
        }
    }

    /** Refuses all connections. */
    private static final class UnreachableTargets implements TargetConnector {
        @Override
        public Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
            listener.failed(new Failure(FailureKind.UNREACHABLE, false, "no path"));
            return new Call() {
                @Override
                public void extendWindow(int bytes) {
                    // The exchange has failed.
                }

                @Override
                public void cancel() {
                    // The exchange has failed.
                }
            };
        }

        @Override
        public CompletableFuture<Boolean> acceptsConnection(TargetAnnouncement target) {
            return CompletableFuture.completedFuture(false);
        }
    }

    /** A directory with the target. */
    private final class OneTarget implements TargetDirectory {
        @Override
        public Collection<TargetAnnouncement> targets() {
            return List.of(target);
        }

        @Override
        public Optional<TargetAnnouncement> target(TargetId id) {
            return Optional.of(target).filter(known -> known.id().equals(id));
        }

        @Override
        public Collection<TargetAnnouncement> readyFor(ModelId model) {
            return List.of(target);
        }

        @Override
        public Collection<TargetAnnouncement> ofService(String service) {
            return List.of(target);
        }
    }
}
