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
import org.basilrill.coordination.membership.PeerForwarding;
import org.basilrill.thrift.envelope.Envelope;
import org.basilrill.thrift.envelope.PeerService;

/**
 * Sends and receives messages between instances over framed TCP. Each recipient has one connection, which is opened on
 * first use and closed when idle. Two threads serve all connections, one for each direction, regardless of the number
 * of instances, and a slow peer does not delay the others. Thread safe. A handler registered for a subject receives its
 * messages on the given executor, possibly several concurrently.
 */
public final class PeerTransport implements PeerChannel, AutoCloseable {
    private static final int MAXIMUM_FRAME_BYTES = 16 * 1024 * 1024;
    /**
     * Limit for all frames being received together. Two of the largest fit, so that one stalled frame does not block
     * the others.
     */
    private static final long MAXIMUM_READ_BYTES = 2L * MAXIMUM_FRAME_BYTES;
    /** Far above the batch size of a sender. Without a limit, a corrupt count made the decoder exhaust the heap. */
    private static final int MAXIMUM_BATCH_ENVELOPES = 4096;

    /** Interval of the checks for overdue acknowledgements and idle connections. */
    private static final Duration CHECK_INTERVAL = Duration.ofMillis(250);

    private final InstanceId self;
    private final PeerDirectory directory;
    private final Executor executor;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final PeerSelector selector = new PeerSelector();
    private final PeerTraffic traffic;
    private final MessageCompression compression = new MessageCompression(MAXIMUM_FRAME_BYTES);
    private final EnvelopeForwarder forwarder;
    private final Map<PeerSubject, PeerHandler> handlers = new EnumMap<>(PeerSubject.class);
    private final Map<InstanceId, PeerLink> links = new ConcurrentHashMap<>();
    private final Map<InstanceId, InetSocketAddress> senderAddresses = new ConcurrentHashMap<>();
    private volatile String ownAddress = "";
    private final AtomicBoolean checksScheduled = new AtomicBoolean();
    private volatile boolean closed;
    private TNonblockingServer server;

    /**
     * Creates the transport of one instance.
     *
     * @param executor runs handlers; not shut down by this transport
     * @param scheduler runs the periodic checks of connections
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
        this.forwarder = new EnvelopeForwarder(
                self,
                (recipient, envelope) ->
                        links.computeIfAbsent(recipient, this::link).send(compression.forLink(recipient, envelope)),
                metrics);
    }

    /** Forwards messages by way of other instances from now on, and passes on those of others. */
    public void forwardBy(PeerForwarding forwarding) {
        forwarder.use(forwarding);
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
            PeerDispatcher dispatcher = new PeerDispatcher(
                    handlers, executor, this::recordSenderAddress, forwarder::isForSelf, traffic, compression);
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
        Thread serverThread = new Thread(this::serve, "peer-server");
        serverThread.setDaemon(true);
        serverThread.start();
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
        envelope.setAcceptsDeflated(true);
        forwarder.send(recipient, subject, envelope);
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

    /** Serves until the transport is closed. The server catches all errors of its thread and then returns. */
    private void serve() {
        server.serve();
        if (!closed) {
            throw new InternalError("the server for messages of other instances ended");
        }
    }

    /** Creates a link. The first one starts the periodic checks, which continue until the transport is closed. */
    private PeerLink link(InstanceId recipient) {
        if (checksScheduled.compareAndSet(false, true)) {
            scheduler.schedule(CHECK_INTERVAL, this::checkLinks);
        }
        return new PeerLink(
                () -> connect(recipient), clock, traffic, forwarder.observerOf(recipient, compression::plain));
    }

    private void checkLinks() {
        if (closed) {
            return;
        }
        try {
            links.values().forEach(PeerLink::checkTimeouts);
        } finally {
            scheduler.schedule(CHECK_INTERVAL, this::checkLinks);
        }
    }

    private PeerConnection connect(InstanceId recipient) {
        return addressOf(recipient)
                .map(address -> selector.open(recipient, address))
                .orElse(PeerConnection.NONE);
    }

    /**
     * Returns the address from the directory or, while the directory does not contain the instance, the address stated
     * in its messages.
     */
    private Optional<InetSocketAddress> addressOf(InstanceId recipient) {
        return directory.address(recipient).or(() -> Optional.ofNullable(senderAddresses.get(recipient)));
    }

    private void recordSenderAddress(InstanceId sender, String address) {
        PeerAddress.parse(address).ifPresent(parsed -> senderAddresses.put(sender, parsed));
    }

    private void deliverLocally(PeerSubject subject, byte[] payload) {
        PeerHandler handler = handlers.get(subject);
        if (handler != null) {
            executor.execute(() -> handler.received(self, payload));
        }
    }
}
