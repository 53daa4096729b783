package org.basilrill.transport.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpVersion;
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
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.instance.TargetConnector;

/**
 * One request to a target on one connection. Reports the answer as it arrives and at most one end. Thread safe: the
 * callbacks of the connection run on its thread, grants and cancellation on any.
 */
final class TargetExchange implements AsyncClientExchangeHandler, TargetConnector.Call {
    private static final String TRANSFER_ENCODING = "transfer-encoding";
    private static final String CLOSE = "close";
    private static final String CONNECTION = "connection";
    private static final String KEEP_ALIVE = "keep-alive";
    /** A target that answers has seldom more than one to send first; one that sends them without end never answers. */
    private static final int MAXIMUM_INTERIM_ANSWERS = 16;

    private static final Pattern KEPT_SECONDS = Pattern.compile("(?:^|[,;\\s])timeout\\s*=\\s*([0-9]{1,6})");

    private final HttpHost host;
    private final TargetConnector.Request request;
    private final TargetConnector.Listener listener;
    private final KeptConnections keep;
    private final Consumer<IOSession> ended;
    /** Bytes of the answer that may still be taken; falls below 0 by what was buffered. */
    private final AtomicLong window;

    private final ByteBuffer body;
    private final AtomicBoolean over = new AtomicBoolean();
    private final Object lock = new Object();
    private IOSession session;
    private boolean reused;
    private CapacityChannel capacity;
    private int granted;
    private boolean requestSent;
    private int interimAnswers;
    private boolean keepAlive;
    private Optional<Duration> keptFor = Optional.empty();

    /**
     * Creates an exchange that is bound to no connection yet.
     *
     * @param windowBytes bytes of the answer taken before any were granted
     * @param keep takes a connection that can be used again
     * @param ended is told the connection on which the exchange ended
     */
    TargetExchange(
            HttpHost host,
            TargetConnector.Request request,
            TargetConnector.Listener listener,
            int windowBytes,
            KeptConnections keep,
            Consumer<IOSession> ended) {
        this.host = host;
        this.request = request;
        this.listener = listener;
        this.keep = keep;
        this.ended = ended;
        window = new AtomicLong(windowBytes);
        body = ByteBuffer.wrap(request.body());
    }

    /** Binds the exchange to its connection; false if it was cancelled before. */
    boolean attach(IOSession connection, boolean usedBefore) {
        synchronized (lock) {
            session = connection;
            reused = usedBefore;
            return !over.get();
        }
    }

    void connectFailed(Exception problem) {
        if (over.compareAndSet(false, true)) {
            report(TargetConnector.Kind.UNREACHABLE, problem);
        }
    }

    /** Returns whether more of the answer may be read from the connection. */
    boolean isWindowOpen() {
        return window.get() > 0;
    }

    @Override
    public void grant(int bytes) {
        window.addAndGet(bytes);
        synchronized (lock) {
            granted += bytes;
        }
        applyGrants();
    }

    @Override
    public void cancel() {
        IOSession connection;
        synchronized (lock) {
            over.set(true);
            connection = session;
        }
        if (connection != null) {
            ended.accept(connection);
            connection.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void produceRequest(RequestChannel channel, HttpContext context) throws HttpException, IOException {
        if (over.get() || !listener.maySend()) {
            throw new ConnectionClosedException("the request was withdrawn");
        }
        BasicHttpRequest message = new BasicHttpRequest(request.method(), host, request.pathAndQuery());
        request.headers().forEach(field -> message.addHeader(field.name(), field.value()));
        boolean hasBody = request.body().length > 0;
        requestSent = !hasBody;
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

    /** Interim answers such as 100 and 103 end here. */
    @Override
    public void consumeInformation(HttpResponse response, HttpContext context) throws HttpException {
        interimAnswers++;
        if (interimAnswers > MAXIMUM_INTERIM_ANSWERS) {
            throw new HttpException("more than " + MAXIMUM_INTERIM_ANSWERS + " interim answers");
        }
    }

    @Override
    public void consumeResponse(HttpResponse response, EntityDetails entity, HttpContext context)
            throws HttpException, IOException {
        boolean endsWithConnection =
                entity != null && entity.getContentLength() < 0 && !response.containsHeader(TRANSFER_ENCODING);
        if (endsWithConnection) {
            // Its end could not be told from a cut.
            throw new HttpException("the answer states no length");
        }
        List<HeaderField> headers = new ArrayList<>();
        for (Header header : response.getHeaders()) {
            headers.add(new HeaderField(header.getName(), header.getValue()));
        }
        AnswerHead head = new AnswerHead(response.getCode(), headers);
        keepAlive = head.header(CONNECTION).filter(CLOSE::equalsIgnoreCase).isEmpty()
                && response.getVersion().greaterEquals(HttpVersion.HTTP_1_1);
        keptFor = head.header(KEEP_ALIVE).flatMap(TargetExchange::keptFor);
        if (!over.get()) {
            listener.answered(head);
        }
        if (entity == null) {
            complete();
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        synchronized (lock) {
            capacity = channel;
        }
        applyGrants();
    }

    @Override
    public void consume(ByteBuffer source) {
        byte[] bytes = new byte[source.remaining()];
        window.addAndGet(-bytes.length);
        source.get(bytes);
        if (!over.get()) {
            listener.received(bytes);
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        complete();
    }

    @Override
    public void failed(Exception cause) {
        if (over.compareAndSet(false, true)) {
            ended.accept(session);
            boolean invalid = cause instanceof HttpException && !(cause instanceof ConnectionClosedException);
            report(invalid ? TargetConnector.Kind.INVALID_ANSWER : TargetConnector.Kind.CONNECTION_LOST, cause);
        }
    }

    @Override
    public void releaseResources() {
        failed(new ConnectionClosedException("the connection was closed"));
    }

    private void complete() {
        if (!over.compareAndSet(false, true)) {
            return;
        }
        ended.accept(session);
        if (keepAlive && requestSent) {
            keep.accept(host, session, keptFor);
        } else {
            session.enqueue(ShutdownCommand.GRACEFUL, Command.Priority.NORMAL);
        }
        listener.ended();
    }

    private static Optional<Duration> keptFor(String keepAlive) {
        Matcher matcher = KEPT_SECONDS.matcher(keepAlive);
        return matcher.find() ? Optional.of(Duration.ofSeconds(Long.parseLong(matcher.group(1)))) : Optional.empty();
    }

    /** Takes a connection that can be used again. */
    @FunctionalInterface
    interface KeptConnections {
        /**
         * Takes one connection.
         *
         * @param targetKeepsIt how long the target keeps it open, if it says so
         */
        void accept(HttpHost host, IOSession session, Optional<Duration> targetKeepsIt);
    }

    private void applyGrants() {
        CapacityChannel channel;
        int bytes;
        synchronized (lock) {
            channel = capacity;
            bytes = granted;
            if (channel == null || bytes == 0) {
                return;
            }
            granted = 0;
        }
        try {
            channel.update(bytes);
        } catch (IOException exception) {
            failed(exception);
        }
    }

    private void report(TargetConnector.Kind kind, Exception cause) {
        listener.failed(new TargetConnector.Failure(kind, reused, String.valueOf(cause.getMessage())));
    }
}
