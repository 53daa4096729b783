package org.basilrill.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.TruncatedChunkException;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.nio.command.ShutdownCommand;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOSession;
import org.basilrill.protocol.caller.EventStreamEnd;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;

/**
 * One request to a target on one connection. Delivers the response to the listener as it arrives, and at most one final
 * event. Thread safe: the callbacks of the connection run on its thread; the window may be extended and the exchange
 * cancelled by any thread.
 *
 * <p>Only bytes that were received after the request began to be written are its response. The exchange owns its
 * connection until its final event and does not touch the connection afterwards. A connection that is found closed or
 * unclean before anything was sent is replaced by a new one.
 */
final class TargetExchange implements AsyncClientExchangeHandler, TargetConnector.Call {
    private static final String CLOSE = "close";
    private static final String CONNECTION = "connection";
    private static final String KEEP_ALIVE = "keep-alive";
    /** Targets seldom send more than one before the response; the limit stops targets that send them endlessly. */
    private static final int MAXIMUM_INTERIM_RESPONSES = 16;

    private static final Pattern KEEP_ALIVE_SECONDS = Pattern.compile("(?:^|[,;\\s])timeout\\s*=\\s*([0-9]{1,6})");

    private final HttpHost host;
    private final TargetConnector.Request request;
    private final TargetConnector.Listener listener;
    private final ResponseMemory memory;
    private final ConnectionOwner owner;
    /** Bytes of the response that may still be read; negative once more than that was delivered from the buffer. */
    private final AtomicLong window;

    private final ByteBuffer body;
    private final AtomicBoolean finished = new AtomicBoolean();
    private final Object lock = new Object();
    private IOSession session;
    private ConnectionHistory history;
    private Optional<ResponseMemory.Holder> held = Optional.empty();
    private boolean reused;
    private boolean cancelled;
    /** The same request on another connection, if this connection was found unusable. */
    private Optional<TargetConnector.Call> replacement = Optional.empty();

    private volatile boolean begun;
    private volatile boolean sending;
    private CapacityChannel capacityChannel;
    private int windowExtension;
    private boolean requestSent;
    private int interimResponses;
    private boolean keepAlive;
    private Optional<Duration> keepAliveTimeout = Optional.empty();
    /** Present for a stream that ends with its connection, which a target may also close because it has failed. */
    private Optional<EventStreamEnd> streamEnd = Optional.empty();

    /**
     * Creates an exchange that is not attached to a connection yet.
     *
     * @param windowBytes initial size of the window
     * @param memory counts the bytes of the response
     * @param owner receives the connection at the end of the exchange
     */
    TargetExchange(
            HttpHost host,
            TargetConnector.Request request,
            TargetConnector.Listener listener,
            int windowBytes,
            ResponseMemory memory,
            ConnectionOwner owner) {
        this.host = host;
        this.request = request;
        this.listener = listener;
        this.memory = memory;
        this.owner = owner;
        window = new AtomicLong(windowBytes);
        body = ByteBuffer.wrap(request.body());
    }

    /** Attaches the exchange to its connection; returns false if it was cancelled before. */
    boolean attach(IOSession connection, ConnectionHistory connectionHistory) {
        synchronized (lock) {
            session = connection;
            history = connectionHistory;
            reused = connectionHistory.isUsed();
            if (finished.get()) {
                return false;
            }
            held = Optional.of(memory.open(this::abortForMemory));
            return true;
        }
    }

    /**
     * Counts bytes that were read from the connection.
     *
     * @throws MessageConstraintException if a head, a trailer or chunk sizes are too long
     */
    void bytesRead(int bytes) throws MessageConstraintException {
        Optional<ResponseMemory.Holder> holder = held();
        if (holder.isPresent()) {
            holder.get().read(bytes);
        }
    }

    void connectionFailed(Exception cause) {
        if (finished.compareAndSet(false, true)) {
            report(TargetConnector.FailureKind.UNREACHABLE, cause);
        }
    }

    /** Returns whether the request began to be written, so that bytes of the target may belong to its response. */
    boolean hasBegun() {
        return begun;
    }

    /** Returns whether part of the request may have been written and the exchange has not ended. */
    boolean awaitsResponse() {
        return sending && !finished.get();
    }

    /** Returns whether all of the request was given to the connection; called by its thread. */
    boolean isRequestSent() {
        return requestSent;
    }

    /** Returns whether more of the response may be read from the connection. */
    boolean isWindowOpen() {
        return window.get() > 0;
    }

    @Override
    public void extendWindow(int bytes) {
        Optional<TargetConnector.Call> other;
        synchronized (lock) {
            other = replacement;
        }
        if (other.isPresent()) {
            other.get().extendWindow(bytes);
            return;
        }
        window.addAndGet(bytes);
        held().ifPresent(holder -> holder.consumed(bytes));
        synchronized (lock) {
            windowExtension += bytes;
        }
        applyWindowExtension();
    }

    @Override
    public void cancel() {
        Optional<IOSession> owned;
        Optional<TargetConnector.Call> other;
        synchronized (lock) {
            cancelled = true;
            other = replacement;
            // After the final event the connection may carry another request.
            owned = finished.compareAndSet(false, true) ? Optional.ofNullable(session) : Optional.empty();
            held.ifPresent(ResponseMemory.Holder::close);
        }
        other.ifPresent(TargetConnector.Call::cancel);
        owned.ifPresent(connection -> {
            owner.ended(this, connection);
            connection.close(CloseMode.IMMEDIATE);
        });
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        requireCleanConnection();
        begun = true;
        history.requestBegins(request);
        if (finished.get() || !listener.maySend()) {
            throw new ConnectionClosedException("the request was cancelled before it was sent");
        }
        BasicHttpRequest message = new BasicHttpRequest(request.method(), host, request.pathAndQuery());
        request.headers().forEach(field -> message.addHeader(field.name(), field.value()));
        boolean hasBody = request.body().length > 0;
        requestSent = !hasBody;
        sending = true;
        channel.sendRequest(message, hasBody ? new BodyDetails(request.body().length) : null, context);
    }

    @Override
    public int available() {
        return body.remaining();
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        channel.write(body);
        if (!body.hasRemaining() && !requestSent) {
            requestSent = true;
            channel.endStream();
        }
    }

    /** Counts and discards interim responses, such as 100 and 103. */
    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) throws HttpException {
        interimResponses++;
        if (interimResponses > MAXIMUM_INTERIM_RESPONSES) {
            throw new HttpException("more than " + MAXIMUM_INTERIM_RESPONSES + " interim responses");
        }
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
            throws HttpException, IOException {
        boolean endsWithConnection = entity != null && entity.getContentLength() == ContentLengthStrategy.UNDEFINED;
        List<HeaderField> headers = new ArrayList<>();
        for (Header header : response.getHeaders()) {
            headers.add(new HeaderField(header.getName(), header.getValue()));
        }
        ResponseHead head = new ResponseHead(response.getCode(), headers);
        boolean own = history.isResponseTo(request, head);
        streamEnd = Optional.of(new EventStreamEnd()).filter(unused -> endsWithConnection && head.isEventStream());
        keepAlive = own
                && !endsWithConnection
                && head.header(CONNECTION).filter(CLOSE::equalsIgnoreCase).isEmpty()
                && response.getVersion().greaterEquals(HttpVersion.HTTP_1_1);
        keepAliveTimeout = head.header(KEEP_ALIVE).flatMap(TargetExchange::keepAliveTimeout);
        held().ifPresent(ResponseMemory.Holder::retain);
        if (!finished.get()) {
            listener.headReceived(head);
        }
        if (entity == null) {
            complete();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        synchronized (lock) {
            capacityChannel = channel;
        }
        applyWindowExtension();
    }

    @Override
    public void consume(ByteBuffer source) {
        byte[] bytes = new byte[source.remaining()];
        window.addAndGet(-bytes.length);
        held().ifPresent(holder -> holder.delivered(bytes.length));
        source.get(bytes);
        streamEnd.ifPresent(end -> end.add(bytes));
        if (!finished.get()) {
            listener.bodyReceived(bytes);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        if (streamEnd.map(EventStreamEnd::mayEnd).orElse(true)) {
            complete();
        } else {
            failed(new ConnectionClosedException("the connection ended inside an event or before one"));
        }
    }

    @Override
    public void failed(Exception cause) {
        if (finished.compareAndSet(false, true)) {
            held().ifPresent(ResponseMemory.Holder::close);
            owner.ended(this, session);
            if (reused && !begun) {
                replaceConnection();
                return;
            }
            report(
                    isInvalidAnswer(cause)
                            ? TargetConnector.FailureKind.INVALID_ANSWER
                            : TargetConnector.FailureKind.CONNECTION_LOST,
                    cause);
        }
    }

    private static boolean isInvalidAnswer(Exception cause) {
        return cause instanceof HttpException
                || cause instanceof MalformedChunkCodingException && !(cause instanceof TruncatedChunkException);
    }

    @Override
    public void releaseResources() {
        failed(new ConnectionClosedException("the connection was closed"));
    }

    /** Fails if the connection was closed or has delivered bytes since it was last used. */
    private void requireCleanConnection() throws IOException {
        int bytes = session.read(ByteBuffer.allocate(1));
        if (bytes < 0) {
            throw new ConnectionClosedException("the target closed the connection before the request was sent");
        }
        if (bytes > 0) {
            throw StrayBytes.receivedOn(session);
        }
    }

    /** Sends the request on a new connection, as nothing was sent on this one. */
    private void replaceConnection() {
        TargetConnector.Call other = owner.replace(request, listener);
        boolean cancel;
        synchronized (lock) {
            replacement = Optional.of(other);
            cancel = cancelled;
        }
        if (cancel) {
            other.cancel();
        }
    }

    private void complete() {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        held().ifPresent(ResponseMemory.Holder::close);
        owner.ended(this, session);
        if (keepAlive && requestSent) {
            owner.keep(session, history, keepAliveTimeout);
        } else {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
        listener.responseCompleted();
    }

    private Optional<ResponseMemory.Holder> held() {
        synchronized (lock) {
            return held;
        }
    }

    /** Ends the exchange because the responses of all exchanges hold too much memory. */
    private void abortForMemory() {
        if (!finished.compareAndSet(false, true)) {
            return;
        }
        owner.ended(this, session);
        session.close(CloseMode.IMMEDIATE);
        report(
                TargetConnector.FailureKind.INVALID_ANSWER,
                new HttpException("the responses of targets hold too much memory, this one the most"));
    }

    private static Optional<Duration> keepAliveTimeout(String keepAlive) {
        Matcher matcher = KEEP_ALIVE_SECONDS.matcher(keepAlive);
        return matcher.find() ? Optional.of(Duration.ofSeconds(Long.parseLong(matcher.group(1)))) : Optional.empty();
    }

    private void applyWindowExtension() {
        CapacityChannel channel;
        int bytes;
        synchronized (lock) {
            channel = capacityChannel;
            bytes = windowExtension;
            if (channel == null || bytes == 0) {
                return;
            }
            windowExtension = 0;
        }
        try {
            channel.update(bytes);
        } catch (IOException exception) {
            failed(exception);
        }
    }

    private void report(TargetConnector.FailureKind kind, Exception cause) {
        listener.failed(new TargetConnector.Failure(kind, reused, String.valueOf(cause.getMessage())));
    }
}
