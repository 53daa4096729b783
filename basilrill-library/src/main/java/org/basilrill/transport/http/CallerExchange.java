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
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.instance.CallerStream;
import org.basilrill.protocol.instance.RunningRequest;

/**
 * One request of a caller and its answer on one connection. Collects the request body, hands the request over and
 * sends the answer as fast as the caller takes it. Thread safe: the connection calls on its thread, the answer comes
 * from any.
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
    /** Takes the place of a body that is no longer needed, so that its buffer can be collected. */
    private static final ByteArrayOutputStream NO_BODY = new ByteArrayOutputStream(0);

    private final CallerConnection connection;
    private final CallerRequests requests;
    private final GatewaySettings settings;
    private final Runnable release = this::releaseResources;
    private final HeldBodies bodies;
    private final AtomicLong held = new AtomicLong();
    private final AtomicBoolean released = new AtomicBoolean();
    private ByteArrayOutputStream body = new ByteArrayOutputStream();
    private RequestHead head;
    private ResponseChannel responses;
    private HttpContext context;
    private boolean refused;
    private boolean bodyOpen;
    private long received;

    private final Object lock = new Object();
    private final Deque<ByteBuffer> unsent = new ArrayDeque<>();
    private DataStreamChannel output;
    private RunningRequest running;
    private int takenEarly;
    private boolean goneEarly;
    private boolean ended;
    private boolean endSent;
    private volatile boolean withoutBody;
    private volatile int available;

    CallerExchange(CallerConnection connection, CallerRequests requests, GatewaySettings settings, HeldBodies bodies) {
        this.connection = connection;
        this.requests = requests;
        this.settings = settings;
        this.bodies = bodies;
        connection.opened(release);
    }

    @Override
    public void handleRequest(HttpRequest request, EntityDetails entity, ResponseChannel channel, HttpContext ctx)
            throws HttpException, IOException {
        ParsedHttpRequest parsed = (ParsedHttpRequest) request;
        head = parsed.head();
        responses = channel;
        context = ctx;
        bodyOpen = entity != null;
        try {
            parsed.rejection().ifPresent(rejection -> {
                connection.refuseInput();
                LOGGER.atFine().log("%s: %s", LogEvent.HTTP_REQUEST_MALFORMED, rejection.getMessage());
                throw rejection;
            });
            requests.check(head);
            requireBodyFits(entity);
        } catch (BasilrillException refusal) {
            refuse(refusal);
        }
        if (!bodyOpen) {
            connection.bodyEnded();
            if (!refused) {
                handOver();
            }
        } else if (!refused && head.header(EXPECT).isPresent()) {
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
        received += length;
        if (received > 2L * settings.maximumBodyBytes()) {
            connection.close();
        }
        if (refused) {
            source.position(source.limit());
            return;
        }
        if (received > settings.maximumBodyBytes()) {
            source.position(source.limit());
            refuse(tooLarge());
            return;
        }
        try {
            bodies.reserve(length);
        } catch (BasilrillException refusal) {
            source.position(source.limit());
            refuse(refusal);
            return;
        }
        held.addAndGet(length);
        byte[] bytes = new byte[length];
        source.get(bytes);
        body.writeBytes(bytes);
        if (released.get()) {
            releaseBody();
        }
    }

    @Override
    public void streamEnd(List<? extends Header> trailers) {
        bodyOpen = false;
        connection.bodyEnded();
        if (refused) {
            return;
        }
        if (connection.refusesInput()) {
            refuse(new BasilrillException(ErrorCode.MALFORMED_REQUEST, "the chunks of the body are malformed"));
        } else {
            handOver();
        }
    }

    @Override
    public void start(AnswerHead answer) {
        BasicHttpResponse response = new BasicHttpResponse(answer.status());
        for (HeaderField field : answer.headers()) {
            if (!field.name().equalsIgnoreCase(AnswerHead.CONTENT_LENGTH)) {
                response.addHeader(field.name(), field.value());
            }
        }
        if (bodyOpen || connection.isClosing()) {
            response.addHeader(CONNECTION, CLOSE);
        }
        long length =
                answer.header(AnswerHead.CONTENT_LENGTH).map(Long::parseLong).orElse(BodyDetails.CHUNKED);
        withoutBody = head.method().equals("HEAD") || answer.status() == NO_CONTENT || answer.status() == NOT_MODIFIED;
        try {
            responses.sendResponse(response, withoutBody ? null : new BodyDetails(length), context);
        } catch (HttpException | IOException exception) {
            LOGGER.atFine().withCause(exception).log("%s", LogEvent.HTTP_CONNECTION_FAILED);
            connection.close();
        }
    }

    @Override
    public void write(byte[] bytes) {
        if (withoutBody) {
            reportTaken(bytes.length);
            return;
        }
        DataStreamChannel channel;
        synchronized (lock) {
            unsent.add(ByteBuffer.wrap(bytes));
            available += bytes.length;
            channel = output;
        }
        requestOutput(channel);
    }

    @Override
    public void end() {
        DataStreamChannel channel;
        synchronized (lock) {
            ended = true;
            available++;
            channel = output;
        }
        requestOutput(channel);
    }

    @Override
    public void abort() {
        connection.cut();
    }

    @Override
    public int available() {
        return available;
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        int taken = 0;
        synchronized (lock) {
            output = channel;
            while (!unsent.isEmpty()) {
                taken += channel.write(unsent.peek());
                if (unsent.peek().hasRemaining()) {
                    break;
                }
                unsent.remove();
            }
            available -= taken;
            if (unsent.isEmpty() && ended && !endSent) {
                endSent = true;
                available--;
                channel.endStream();
            }
        }
        if (taken > 0) {
            reportTaken(taken);
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
            goneEarly = true;
            request = running;
            unsent.clear();
        }
        if (request != null) {
            request.callerGone();
        }
        releaseBody();
        connection.requestEnded(release);
    }

    private void requireBodyFits(EntityDetails entity) {
        if (entity != null && entity.getContentLength() > settings.maximumBodyBytes()) {
            throw tooLarge();
        }
    }

    private BasilrillException tooLarge() {
        return new BasilrillException(
                ErrorCode.REQUEST_TOO_LARGE, "the body exceeds " + settings.maximumBodyBytes() + " bytes");
    }

    /** Answers before the request is handed over; what is left of its body is read and dropped. */
    private void refuse(BasilrillException refusal) {
        refused = true;
        releaseBody();
        if (bodyOpen) {
            connection.refusedEarly();
        }
        requests.refuse(refusal, head, this);
    }

    private void releaseBody() {
        body = NO_BODY;
        bodies.release(held.getAndSet(0));
    }

    private void handOver() {
        byte[] complete = body.toByteArray();
        body = NO_BODY;
        RunningRequest started = requests.start(head, complete, this);
        int taken;
        boolean gone;
        synchronized (lock) {
            running = started;
            taken = takenEarly;
            takenEarly = 0;
            gone = goneEarly;
        }
        if (taken > 0) {
            started.taken(taken);
        }
        if (gone) {
            started.callerGone();
        }
    }

    private void reportTaken(int bytes) {
        RunningRequest request;
        synchronized (lock) {
            request = running;
            if (request == null) {
                takenEarly += bytes;
            }
        }
        if (request != null) {
            request.taken(bytes);
        }
    }

    /** The channel is known from the first call of {@link #produce}, which the start of the answer makes. */
    private static void requestOutput(DataStreamChannel channel) {
        if (channel != null) {
            channel.requestOutput();
        }
    }
}
