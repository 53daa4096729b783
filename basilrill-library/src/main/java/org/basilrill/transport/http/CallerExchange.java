package org.basilrill.transport.http;

import com.google.common.flogger.FluentLogger;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.protocol.caller.CallerStream;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.caller.RunningRequest;

/**
 * One request of a caller and the response to it, on one connection. Buffers the request body, starts the request and
 * sends the response as fast as the caller reads it. Thread safe: the connection calls from its own thread; the methods
 * that send the response may be called from any thread.
 */
final class CallerExchange implements AsyncServerExchangeHandler, CallerStream {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();
    private static final String EXPECT = "expect";
    private static final String CONNECTION = "connection";
    private static final String CLOSE = "close";
    private static final int CONTINUE = 100;
    private static final int NO_CONTENT = 204;
    private static final int NOT_MODIFIED = 304;
    private static final int WINDOW_BYTES = 64 * 1024;
    /** Replaces a body that is no longer needed, so that its buffer can be garbage collected. */
    private static final ByteArrayOutputStream NO_BODY = new ByteArrayOutputStream(0);

    private final CallerConnection connection;
    private final GatewayRequestHandler requestHandler;
    private final GatewaySettings settings;
    private final Runnable releaseAction = this::releaseResources;
    private final BodyMemoryLimiter bodyMemory;
    private final AtomicLong reservedBytes = new AtomicLong();
    private final AtomicBoolean released = new AtomicBoolean();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private RequestHead head;
    private ResponseChannel responseChannel;
    private HttpContext context;
    private boolean rejected;
    private boolean bodyIncomplete;
    private long receivedBytes;

    private final Object lock = new Object();
    private final Deque<ByteBuffer> unsent = new ArrayDeque<>();
    private DataStreamChannel output;
    private RunningRequest runningRequest;
    private int writtenBeforeStart;
    private boolean disconnected;
    private boolean ended;
    private boolean endSent;
    private volatile boolean responseWithoutBody;
    /** Number of unsent bytes, plus one while the end of the response is unsent. */
    private volatile int availableOutput;

    CallerExchange(
            CallerConnection connection,
            GatewayRequestHandler requestHandler,
            GatewaySettings settings,
            BodyMemoryLimiter bodyMemory) {
        this.connection = connection;
        this.requestHandler = requestHandler;
        this.settings = settings;
        this.bodyMemory = bodyMemory;
        connection.exchangeOpened(releaseAction);
    }

    @Override
    public void handleRequest(HttpRequest request, EntityDetails entity, ResponseChannel channel, HttpContext ctx)
            throws HttpException, IOException {
        ParsedHttpRequest parsed = (ParsedHttpRequest) request;
        head = parsed.head();
        responseChannel = channel;
        context = ctx;
        bodyIncomplete = entity != null;
        try {
            parsed.rejection().ifPresent(rejection -> {
                connection.stopReading();
                LOGGER.atFine().log("%s: %s", LogEvent.HTTP_REQUEST_MALFORMED, rejection.getMessage());
                throw rejection;
            });
            requestHandler.check(head);
            requireBodyWithinLimit(entity);
        } catch (BasilrillException rejection) {
            reject(rejection);
        }
        if (!bodyIncomplete) {
            connection.bodyCompleted();
            if (!rejected) {
                startRequest();
            }
        } else if (!rejected && head.header(EXPECT).isPresent()) {
            channel.sendInformation(new BasicHttpResponse(CONTINUE), ctx);
        }
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(WINDOW_BYTES);
    }

    @Override
    public void consume(ByteBuffer source) {
        int length = source.remaining();
        receivedBytes += length;
        if (receivedBytes > 2L * settings.maximumBodyBytes()) {
            connection.close();
        }
        if (rejected) {
            source.position(source.limit());
            return;
        }
        if (receivedBytes > settings.maximumBodyBytes()) {
            source.position(source.limit());
            reject(tooLarge());
            return;
        }
        try {
            bodyMemory.reserve(length);
        } catch (BasilrillException rejection) {
            source.position(source.limit());
            reject(rejection);
            return;
        }
        reservedBytes.addAndGet(length);
        byte[] bytes = new byte[length];
        source.get(bytes);
        body.writeBytes(bytes);
        if (released.get()) {
            releaseBody();
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        bodyIncomplete = false;
        connection.bodyCompleted();
        if (rejected) {
            return;
        }
        if (connection.readingStopped()) {
            reject(new BasilrillException(ErrorCode.MALFORMED_REQUEST, "the chunks of the body are malformed"));
        } else {
            startRequest();
        }
    }

    @Override
    public void start(ResponseHead responseHead) {
        BasicHttpResponse response = new BasicHttpResponse(responseHead.status());
        for (HeaderField field : responseHead.headers()) {
            if (!field.name().equalsIgnoreCase(ResponseHead.CONTENT_LENGTH)) {
                response.addHeader(field.name(), field.value());
            }
        }
        if (bodyIncomplete || connection.isClosing()) {
            response.addHeader(CONNECTION, CLOSE);
        }
        long length = responseHead
                .header(ResponseHead.CONTENT_LENGTH)
                .map(Long::parseLong)
                .orElse(BodyDetails.CHUNKED);
        responseWithoutBody = head.method().equals("HEAD")
                || responseHead.status() == NO_CONTENT
                || responseHead.status() == NOT_MODIFIED;
        try {
            responseChannel.sendResponse(response, responseWithoutBody ? null : new BodyDetails(length), context);
        } catch (HttpException | IOException exception) {
            LOGGER.atFine().withCause(exception).log("%s", LogEvent.HTTP_CONNECTION_FAILED);
            connection.close();
        }
    }

    @Override
    public void write(byte[] bytes) {
        if (responseWithoutBody) {
            reportWritten(bytes.length);
            return;
        }
        DataStreamChannel channel;
        synchronized (lock) {
            unsent.add(ByteBuffer.wrap(bytes));
            availableOutput += bytes.length;
            channel = output;
        }
        requestOutput(channel);
    }

    @Override
    public void end() {
        DataStreamChannel channel;
        synchronized (lock) {
            ended = true;
            availableOutput++;
            channel = output;
        }
        requestOutput(channel);
    }

    @Override
    public void abort() {
        connection.closeGracefully();
    }

    @Override
    public int available() {
        return availableOutput;
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        int written = 0;
        synchronized (lock) {
            output = channel;
            while (!unsent.isEmpty()) {
                written += channel.write(unsent.peek());
                if (unsent.peek().hasRemaining()) {
                    break;
                }
                unsent.remove();
            }
            availableOutput -= written;
            if (unsent.isEmpty() && ended && !endSent) {
                endSent = true;
                availableOutput--;
                channel.endStream();
            }
        }
        if (written > 0) {
            reportWritten(written);
        }
    }

    @Override
    public void failed(Exception cause) {
        LOGGER.atFine().withCause(cause).log("%s", LogEvent.HTTP_CONNECTION_FAILED);
        releaseResources();
    }

    @Override
    public void releaseResources() {
        if (!released.compareAndSet(false, true)) {
            return;
        }
        RunningRequest request;
        synchronized (lock) {
            disconnected = true;
            request = runningRequest;
            unsent.clear();
        }
        if (request != null) {
            request.callerDisconnected();
        }
        releaseBody();
        connection.requestCompleted(releaseAction);
    }

    private void requireBodyWithinLimit(EntityDetails entity) {
        if (entity != null && entity.getContentLength() > settings.maximumBodyBytes()) {
            throw tooLarge();
        }
    }

    private BasilrillException tooLarge() {
        return new BasilrillException(
                ErrorCode.REQUEST_TOO_LARGE, "the body exceeds " + settings.maximumBodyBytes() + " bytes");
    }

    /** Sends an error response instead of starting the request. The rest of the body is read and discarded. */
    private void reject(BasilrillException rejection) {
        rejected = true;
        releaseBody();
        if (bodyIncomplete) {
            connection.bodyRejected();
        }
        requestHandler.reject(rejection, head, this);
    }

    private void releaseBody() {
        body = NO_BODY;
        bodyMemory.release(reservedBytes.getAndSet(0));
    }

    private void startRequest() {
        byte[] completeBody = body.toByteArray();
        body = NO_BODY;
        RunningRequest started = requestHandler.start(head, completeBody, this);
        int written;
        boolean disconnectedEarly;
        synchronized (lock) {
            runningRequest = started;
            written = writtenBeforeStart;
            writtenBeforeStart = 0;
            disconnectedEarly = disconnected;
        }
        if (written > 0) {
            started.bytesWritten(written);
        }
        if (disconnectedEarly) {
            started.callerDisconnected();
        }
    }

    private void reportWritten(int bytes) {
        RunningRequest request;
        synchronized (lock) {
            request = runningRequest;
            if (request == null) {
                writtenBeforeStart += bytes;
            }
        }
        if (request != null) {
            request.bytesWritten(bytes);
        }
    }

    /** The channel is null until the start of the response causes the first call of {@link #produce}. */
    private static void requestOutput(DataStreamChannel channel) {
        if (channel != null) {
            channel.requestOutput();
        }
    }
}
