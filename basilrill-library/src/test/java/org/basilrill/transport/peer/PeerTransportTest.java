package org.basilrill.transport.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.notNullValue;

import com.codahale.metrics.MetricRegistry;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerSubject;
import org.basilrill.thrift.envelope.Envelope;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

/** Guards the delivery of messages over real connections, and recovery from connections that went silent. */
class PeerTransportTest {
    private static final InstanceId ONE = new InstanceId("one");
    private static final InstanceId TWO = new InstanceId("two");

    private final ExecutorService executor = Executors.newCachedThreadPool();
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
    }

    @Test
    void aMessageArrivesWithItsSenderAndSubject() throws Exception {
        start();
        sender.send(TWO, PeerSubject.MEMBERSHIP, "hello".getBytes(StandardCharsets.UTF_8));
        assertThat(received.poll(30, TimeUnit.SECONDS), is("one:hello"));
    }

    @Test
    void messagesGetThroughAgainAfterAConnectionWentSilent() throws Exception {
        try (ServerSocket silent = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            start();
            InetSocketAddress working = addressOfTwo.getAndSet(
                    new InetSocketAddress(InetAddress.getLoopbackAddress(), silent.getLocalPort()));
            sender.send(TWO, PeerSubject.MEMBERSHIP, "lost".getBytes(StandardCharsets.UTF_8));
            addressOfTwo.set(working);
            assertThat(pollWhileSending("again"), notNullValue());
        }
    }

    /** Guards the heap against a count of two billion envelopes: it must be refused, not end in a lack of memory. */
    @Test
    void aDamagedCountIsAnsweredWithAnErrorAndDisturbsNoOtherConnection() throws Exception {
        start();
        byte[] call = {(byte) 0x82, 0x21, 1, 7, 'd', 'e', 'l', 'i', 'v', 'e', 'r'};
        byte[] count = {0x19, (byte) 0xFC, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, (byte) 0xFF, 0x07, 0};
        try (Socket socket =
                new Socket(addressOfTwo.get().getAddress(), addressOfTwo.get().getPort())) {
            DataOutputStream output = new DataOutputStream(socket.getOutputStream());
            output.writeInt(call.length + count.length);
            output.write(call);
            output.write(count);
            int firstByteOfAnswerLength = 0;
            assertThat(readOutcome(socket), is(firstByteOfAnswerLength));
        }
        sender.send(TWO, PeerSubject.MEMBERSHIP, "hello".getBytes(StandardCharsets.UTF_8));
        assertThat(received.poll(30, TimeUnit.SECONDS), is("one:hello"));
    }

    /** Guards the heap against a damaged frame length: memory was reserved for it before the frame arrived. */
    @Test
    void anAbsurdFrameLengthClosesItsConnection() throws Exception {
        start();
        try (Socket socket =
                new Socket(addressOfTwo.get().getAddress(), addressOfTwo.get().getPort())) {
            new DataOutputStream(socket.getOutputStream()).writeInt(200 * 1024 * 1024);
            assertThat(readOutcome(socket), is(-1));
        }
    }

    /** Guards the heap against large messages to an instance that does not take them, and against losing the newest. */
    @Test
    void theQueueOfALinkHoldsTheNewestMessagesWithinItsBytes() throws Exception {
        start();
        List<Runnable> tasks = new ArrayList<>();
        PeerLink link =
                new PeerLink(TWO, () -> Optional.of(addressOfTwo.get()), tasks::add, new PeerTraffic(senderMetrics));
        int messageBytes = 512 * 1024;
        for (int number = 0; number < 10; number++) {
            byte[] payload = new byte[messageBytes];
            Arrays.fill(payload, (byte) ('0' + number));
            link.send(new Envelope(
                    ONE.value(), "", (short) PeerSubject.MEMBERSHIP.wireNumber(), ByteBuffer.wrap(payload)));
        }
        tasks.forEach(Runnable::run);
        link.close();
        Set<String> arrived = new TreeSet<>();
        for (int message = 0; message < 4; message++) {
            arrived.add(received.poll(30, TimeUnit.SECONDS).substring(0, 5));
        }
        assertThat(arrived, is(Set.of("one:6", "one:7", "one:8", "one:9")));
    }

    private static int readOutcome(Socket socket) throws IOException {
        socket.setSoTimeout(10_000);
        return socket.getInputStream().read();
    }

    /** Guards against a cost of the messages between instances that the metrics hide or book under another subject. */
    @Test
    void messagesAreCountedBySubjectAtBothEnds() throws Exception {
        start();
        sender.send(TWO, PeerSubject.MEMBERSHIP, new byte[1000]);
        assertThat(received.poll(30, TimeUnit.SECONDS), notNullValue());
        assertThat(receiverMetrics.counter("peer.received.membership.messages").getCount(), is(1L));
        assertThat(receiverMetrics.counter("peer.received.control.messages").getCount(), is(0L));
        // The sender counts once the receiver has acknowledged, which may be after the handler ran.
        while (senderMetrics.counter("peer.sent.batches").getCount() == 0
                || senderMetrics.counter("peer.sent.membership.bytes").getCount() == 0) {
            Thread.onSpinWait();
        }
        long bytes = receiverMetrics.counter("peer.received.membership.bytes").getCount();
        assertThat(bytes, greaterThan(1000L));
        assertThat(bytes, lessThan(1040L));
        assertThat(senderMetrics.counter("peer.sent.membership.bytes").getCount(), is(bytes));
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
        sender = new PeerTransport(ONE, instance -> Optional.of(addressOfTwo.get()), executor, senderMetrics);
        receiver = new PeerTransport(TWO, instance -> Optional.empty(), executor, receiverMetrics);
        receiver.handle(
                PeerSubject.MEMBERSHIP,
                (from, payload) -> received.add(from + ":" + new String(payload, StandardCharsets.UTF_8)));
        receiver.start(address, address);
    }

    private static InetSocketAddress freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
        }
    }
}
