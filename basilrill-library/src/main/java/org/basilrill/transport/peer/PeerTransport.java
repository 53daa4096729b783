package org.basilrill.transport.peer;

import com.codahale.metrics.MetricRegistry;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.server.TNonblockingServer;
import org.apache.thrift.transport.TNonblockingServerSocket;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.Scheduler;
import org.basilrill.thrift.envelope.Envelope;
import org.basilrill.thrift.envelope.PeerService;

/**
 * Carries messages between instances over framed TCP: one connection per recipient, opened on first use and closed when
 * it is idle. Two threads carry all connections, one for each direction, however many instances there are, and no peer
 * that is slow holds up another. Thread safe. A handler registered for a subject receives its messages on the given
 * executor, several at a time.
 */
public final class PeerTransport implements PeerChannel, AutoCloseable {
    private static final int MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;
    /** All frames being received together; two of the largest, so that one that stalls does not block the others. */
    private static final long MAXIMUM_READ_BYTES = 2L * MAXIMUM_FRAME_BYTES;
    /** Far above the batch of a sender; without a limit, a damaged count made the decoder exhaust the heap. */
    private static final int MAXIMUM_BATCH_ENVELOPES = 4096;

    /** Interval of the checks for overdue answers and idle connections. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    private final InstanceId self;
    private final PeerDirectory directory;
    private final Executor executor;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final PeerSelector selector = new PeerSelector();
    private final PeerTraffic traffic;
    private final Map<PeerSubject, PeerHandler> handlers = new EnumMap<>(PeerSubject.class);
    private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<InstanceId, InetSocketAddress> learnedAddresses = new ConcurrentHashMap<>();
    private volatile String ownAddress = "";
    private final AtomicBoolean checking = new AtomicBoolean();
    private volatile boolean closed;
    private TNonblockingServer server;

    /**
     * Creates the transport of one instance.
     *
     * @param executor runs handlers; owned by the caller
     * @param scheduler runs the checks of connections
     * @param metrics registry for the message and byte counters of each subject
     */
    public PeerTransport(
            InstanceId self,
            PeerDirectory directory,
            Executor executor,
            MonotonicClock clock,
            Scheduler scheduler,
            MetricRegistry metrics) {
        this.self = self;
        this.directory = directory;
        this.executor = executor;
        this.clock = clock;
        this.scheduler = scheduler;
        this.traffic = new PeerTraffic(metrics);
    }

    /** Registers the handler of a subject; must be called before {@link #start}. */
    public void handle(PeerSubject subject, PeerHandler handler) {
        handlers.put(subject, handler);
    }

    /**
     * Starts to accept connections.
     *
     * @param address address to listen on
     * @param announcedAddress address at which other instances reach this one
     * @throws BasilrillException with {@code ADDRESS_IN_USE} if the address cannot be bound
     */
    public void start(InetSocketAddress address, InetSocketAddress announcedAddress) {
        ownAddress = announcedAddress.getAddress().getHostAddress() + ":" + announcedAddress.getPort();
        try {
            TNonblockingServerSocket socket = new TNonblockingServerSocket(address);
            PeerDispatcher dispatcher = new PeerDispatcher(handlers, executor, this::learnAddress, traffic);
            TNonblockingServer.Args arguments = new TNonblockingServer.Args(socket)
                    .transportFactory(new TFramedTransport.Factory(MAXIMUM_FRAME_BYTES))
                    .protocolFactory(new TCompactProtocol.Factory(MAXIMUM_FRAME_BYTES, MAXIMUM_BATCH_ENVELOPES))
                    .processor(new PeerService.Processor<>(dispatcher));
            arguments.maxReadBufferBytes = MAXIMUM_READ_BYTES;
            server = new TNonblockingServer(arguments);
        } catch (TException exception) {
            throw new BasilrillException(
                    ErrorCode.ADDRESS_IN_USE,
                    "cannot listen for instances on " + BindFailure.describe(address, exception),
                    exception);
        }
        Thread acceptor = new Thread(server::serve, "peer-server");
        acceptor.setDaemon(true);
        acceptor.start();
    }

    @Override
    public void send(InstanceId recipient, PeerSubject subject, byte[] payload) {
        if (recipient.equals(self)) {
            deliverLocally(subject, payload);
            return;
        }
        Envelope envelope = new Envelope();
        envelope.setSender(self.value());
        envelope.setSenderAddress(ownAddress);
        envelope.setSubject((short) subject.wireNumber());
        envelope.setPayload(payload);
        links.computeIfAbsent(recipient, this::link).send(envelope);
    }

    @Override
    public void close() {
        closed = true;
        if (server != null) {
            server.stop();
        }
        links.values().forEach(PeerLink::close);
        selector.close();
    }

    /** The first link starts the checks, which then go on until the transport is closed. */
    private PeerLink link(InstanceId recipient) {
        if (checking.compareAndSet(false, true)) {
            scheduler.schedule(CHECK_INTERVAL, this::check);
        }
        return new PeerLink(() -> connect(recipient), clock, traffic);
    }

    private void check() {
        if (closed) {
            return;
        }
        links.values().forEach(PeerLink::check);
        scheduler.schedule(CHECK_INTERVAL, this::check);
    }

    private PeerConnection connect(InstanceId recipient) {
        return addressOf(recipient)
                .map(address -> selector.open(recipient, address))
                .orElse(PeerConnection.NONE);
    }

    /** The directory goes first; the learned address serves while the directory does not know the instance yet. */
    private Optional<InetSocketAddress> addressOf(InstanceId recipient) {
        return directory.address(recipient).or(() -> Optional.ofNullable(learnedAddresses.get(recipient)));
    }

    private void learnAddress(InstanceId sender, String address) {
        PeerAddress.parse(address).ifPresent(parsed -> learnedAddresses.put(sender, parsed));
    }

    private void deliverLocally(PeerSubject subject, byte[] payload) {
        PeerHandler handler = handlers.get(subject);
        if (handler != null) {
            executor.execute(() -> handler.received(self, payload));
        }
    }
}
