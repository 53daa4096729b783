package org.basilrill.transport.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.notNullValue;

import com.codahale.metrics.MetricRegistry;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.Scheduler;
import org.basilrill.transport.threads.ExecutorScheduler;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Tests the delivery of messages over real connections, and recovery from unresponsive connections. */
class PeerTransportTest {
    private static final InstanceId ONE = new InstanceId("one");
    private static final InstanceId TWO = new InstanceId("two");
    private static final int EXECUTOR_THREADS = 2;

    private final ExecutorService executor = Executors.newFixedThreadPool(EXECUTOR_THREADS);
    private final ScheduledExecutorService timer = Executors.newSingleThreadScheduledExecutor();
    private final Scheduler scheduler = new ExecutorScheduler(timer, executor);
    private final MonotonicClock clock = System::nanoTime;
    private final AtomicReference<InetSocketAddress> addressOfTwo = new AtomicReference<>();
    private final BlockingQueue<String> received = new LinkedBlockingQueue<>();
    private final MetricRegistry senderMetrics = new MetricRegistry();
    private final MetricRegistry receiverMetrics = new MetricRegistry();
    private PeerTransport sender;
    private PeerTransport receiver;

    @AfterEach
    void close() {
        sender.close();
        receiver.close();
        executor.shutdown();
        timer.shutdownNow();
    }

    @Test
    void aMessageArrivesWithItsSenderAndSubject() throws Exception {
        start();
        sender.send(TWO, PeerSubject.MEMBERSHIP, "hello".getBytes(StandardCharsets.UTF_8));
        assertThat(received.poll(30, TimeUnit.SECONDS), is("one:hello"));
    }

    @Test
    void messagesAreDeliveredAgainAfterAConnectionBecameUnresponsive() throws Exception {
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            start();
            InetSocketAddress working = addressOfTwo.getAndSet(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), unresponsive.getLocalPort()));
            sender.send(TWO, PeerSubject.MEMBERSHIP, "lost".getBytes(StandardCharsets.UTF_8));
            addressOfTwo.set(working);
            assertThat(pollWhileSending("again"), notNullValue());
        }
    }

    /** Guards against a corrupt count of two billion envelopes, which must be rejected and not exhaust the heap. */
    @Test
    void aDamagedCountReturnsAnErrorAndAffectsNoOtherConnection() throws Exception {
        start();
        byte[] call = {(byte) 0x82, 0x21, 1, 7, 'd', 'e', 'l', 'i', 'v', 'e', 'r'};
        byte[] count = {0x19, (byte) 0xFC, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, 0x07, 0};
        try (Socket socket =
                new Socket(addressOfTwo.get().getAddress(), addressOfTwo.get().getPort())) {
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            output.writeInt(call.length + count.length);
            output.write(call);
            output.write(count);
            int firstByteOfResponseLength = 0;
            assertThat(readFirstByte(socket), is(firstByteOfResponseLength));
        }
        sender.send(TWO, PeerSubject.MEMBERSHIP, "hello".getBytes(StandardCharsets.UTF_8));
        assertThat(received.poll(30, TimeUnit.SECONDS), is("one:hello"));
    }

    /** Guards against a corrupt frame length, for which memory was allocated before the frame arrived. */
    @Test
    void anOversizedFrameLengthClosesItsConnection() throws Exception {
        start();
        try (Socket socket =
                new Socket(addressOfTwo.get().getAddress(), addressOfTwo.get().getPort())) {
            new DataOutputStream(socket.getOutputStream()).writeInt(200 * 1024 * 1024);
            assertThat(readFirstByte(socket), is(-1));
        }
    }

    /**
     * Guards against one thread for each other instance: 59 such threads used a fifth of the processor time of an
     * instance.
     */
    @Test
    void theNumberOfThreadsDoesNotGrowWithTheInstances() throws Exception {
        start();
        List<ServerSocket> unresponsive = new ArrayList<>();
        try {
            long before = threads();
            for (int number = 0; number < 100; number++) {
                ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
                unresponsive.add(socket);
                InstanceId other = new InstanceId("127.0.0.1:" + socket.getLocalPort());
                sender.send(other, PeerSubject.MEMBERSHIP, new byte[10]);
            }
            assertThat(threads() - before, lessThanOrEqualTo(EXECUTOR_THREADS + 1L));
        } finally {
            for (ServerSocket socket : unresponsive) {
                socket.close();
            }
        }
    }

    /** Guards against an instance that reads nothing and thereby delays the messages to all others. */
    @Test
    void anInstanceThatDoesNotReadDelaysNoOther() throws Exception {
        start();
        try (ServerSocket unresponsive = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            InstanceId unresponsiveInstance = new InstanceId("127.0.0.1:" + unresponsive.getLocalPort());
            for (int message = 0; message < 20; message++) {
                sender.send(unresponsiveInstance, PeerSubject.MEMBERSHIP, new byte[1 << 20]);
            }
            sender.send(TWO, PeerSubject.MEMBERSHIP, "hello".getBytes(StandardCharsets.UTF_8));
            assertThat(received.poll(30, TimeUnit.SECONDS), is("one:hello"));
        }
    }

    /** Guards against a corrupt response length, for which memory was allocated before the response arrived. */
    @Test
    void anOversizedResponseLengthClosesOnlyItsConnection() throws Exception {
        start();
        try (ServerSocket damaged = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            sender.send(new InstanceId("127.0.0.1:" + damaged.getLocalPort()), PeerSubject.MEMBERSHIP, new byte[] {1});
            try (Socket socket = damaged.accept()) {
                new DataOutputStream(socket.getOutputStream()).writeInt(Integer.MAX_VALUE);
                socket.setSoTimeout(30_000);
                assertThat(socket.getInputStream().readAllBytes().length, greaterThan(0));
            }
        }
        sender.send(TWO, PeerSubject.MEMBERSHIP, "hello".getBytes(StandardCharsets.UTF_8));
        assertThat(received.poll(30, TimeUnit.SECONDS), is("one:hello"));
    }

    private static long threads() {
        return Thread.getAllStackTraces().keySet().stream()
                .filter(thread -> thread.getName().matches("pool-.*|peer.*|TAsync.*|.*Select.*"))
                .count();
    }

    private static int readFirstByte(Socket socket) throws IOException {
        socket.setSoTimeout(10_000);
        return socket.getInputStream().read();
    }

    /** Guards against traffic between instances that the metrics omit or count under another subject. */
    @Test
    void messagesAreCountedBySubjectAtBothEnds() throws Exception {
        start();
        sender.send(TWO, PeerSubject.MEMBERSHIP, new byte[1000]);
        assertThat(received.poll(30, TimeUnit.SECONDS), notNullValue());
        assertThat(receiverMetrics.counter("peer.received.membership.messages").getCount(), is(1L));
        assertThat(receiverMetrics.counter("peer.received.control.messages").getCount(), is(0L));
        // The sender counts a batch once it is acknowledged, which may be after the handler has run.
        while (senderMetrics.counter("peer.sent.batches").getCount() == 0
                || senderMetrics.counter("peer.sent.membership.bytes").getCount() == 0) {
            Thread.onSpinWait();
        }
        long bytes = receiverMetrics.counter("peer.received.membership.bytes").getCount();
        assertThat(bytes, greaterThan(1000L));
        assertThat(bytes, lessThan(1040L));
        assertThat(senderMetrics.counter("peer.sent.membership.bytes").getCount(), is(bytes));
    }

    /** Guards against large messages that fill the links of small instances although both ends can deflate them. */
    @Test
    void aLargeMessageIsDeflatedOnceItsRecipientHasSentAMessage() throws Exception {
        start();
        InetSocketAddress addressOfOne = freeAddress();
        sender.handle(PeerSubject.MEMBERSHIP, (from, payload) -> received.add(from + ":" + payload.length));
        sender.start(addressOfOne, addressOfOne);
        sender.send(TWO, PeerSubject.MEMBERSHIP, "hello".getBytes(StandardCharsets.UTF_8));
        assertThat(received.poll(30, TimeUnit.SECONDS), is("one:hello"));
        receiver.send(ONE, PeerSubject.MEMBERSHIP, new byte[1]);
        assertThat(received.poll(30, TimeUnit.SECONDS), is("two:1"));
        String large = "a route and another ".repeat(20_000);
        sender.send(TWO, PeerSubject.MEMBERSHIP, large.getBytes(StandardCharsets.UTF_8));
        assertThat(received.poll(30, TimeUnit.SECONDS), is("one:" + large));
        long bytes = receiverMetrics.counter("peer.received.membership.bytes").getCount();
        assertThat(bytes, lessThan(large.length() / 10L));
    }

    private String pollWhileSending(String text) throws InterruptedException {
        String message = null;
        for (int attempt = 0; attempt < 600 && message == null; attempt++) {
            sender.send(TWO, PeerSubject.MEMBERSHIP, text.getBytes(StandardCharsets.UTF_8));
            message = received.poll(50, TimeUnit.MILLISECONDS);
        }
        return message;
    }

    private void start() throws IOException {
        InetSocketAddress address = freeAddress();
        addressOfTwo.set(address);
        sender = new PeerTransport(ONE, this::addressOf, executor, clock, scheduler, senderMetrics);
        receiver = new PeerTransport(TWO, instance -> Optional.empty(), executor, clock, scheduler, receiverMetrics);
        receiver.handle(
                PeerSubject.MEMBERSHIP,
                (from, payload) -> received.add(from + ":" + new String(payload, StandardCharsets.UTF_8)));
        receiver.start(address, address);
    }

    private Optional<InetSocketAddress> addressOf(InstanceId instance) {
        return PeerAddress.parse(instance.value()).or(() -> Optional.of(addressOfTwo.get()));
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }
}
