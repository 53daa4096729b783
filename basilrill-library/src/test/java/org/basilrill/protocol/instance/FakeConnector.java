package org.basilrill.protocol.instance;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;
import org.basilrill.state.target.TargetAnnouncement;

/** An in-memory connector: the test determines the events of each call. Not thread safe. */
final class FakeConnector implements TargetConnector {
    private final List<FakeCall> calls = new ArrayList<>();
    private final Map<String, Integer> sentByRequest = new HashMap<>();
    private boolean accepting = true;

    @Override
    public Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
        FakeCall call = new FakeCall(target, request, freshConnection, listener);
        calls.add(call);
        return call;
    }

    @Override
    public CompletableFuture<Boolean> acceptsConnection(TargetAnnouncement target) {
        return CompletableFuture.completedFuture(accepting);
    }

    /** Sets whether targets accept new connections. */
    void setAccepting(boolean accept) {
        accepting = accept;
    }

    List<FakeCall> calls() {
        return calls;
    }

    FakeCall last() {
        return calls.get(calls.size() - 1);
    }

    /** Returns how often a request may have been run: sent to a target and not refused as full. */
    int timesSent(String requestId) {
        return sentByRequest.getOrDefault(requestId, 0);
    }

    /** One call, controlled by the test. */
    final class FakeCall implements Call {
        private final TargetAnnouncement target;
        private final Request request;
        private final boolean freshConnection;
        private final Listener listener;
        private int windowBytes;
        private boolean sent;
        private boolean headSent;
        private boolean finished;
        private boolean cancelled;

        FakeCall(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener) {
            this.target = target;
            this.request = request;
            this.freshConnection = freshConnection;
            this.listener = listener;
        }

        String requestId() {
            return HeaderField.first(request.headers(), RequestHead.REQUEST_ID).orElse("");
        }

        TargetAnnouncement target() {
            return target;
        }

        Request request() {
            return request;
        }

        boolean freshConnection() {
            return freshConnection;
        }

        int windowBytes() {
            return windowBytes;
        }

        boolean cancelled() {
            return cancelled;
        }

        /** Returns whether the request is given up once the path to its target is lost. */
        boolean abandonsLostPath() {
            return listener.abandonsLostPath();
        }

        boolean active() {
            return !finished && !cancelled;
        }

        boolean sent() {
            return sent;
        }

        boolean headSent() {
            return headSent;
        }

        /** Requests the send permit as a connector does before it writes. */
        void send() {
            if (!sent && listener.maySend()) {
                sent = true;
                sentByRequest.merge(requestId(), 1, Integer::sum);
            }
        }

        void head(int status, String type, String id) {
            headSent = true;
            listener.headReceived(new ResponseHead(
                    status,
                    id.isEmpty()
                            ? List.of(new HeaderField(ResponseHead.CONTENT_TYPE, type))
                            : List.of(
                                    new HeaderField(ResponseHead.CONTENT_TYPE, type),
                                    new HeaderField(RequestHead.REQUEST_ID, id))));
        }

        void stream() {
            send();
            head(200, ResponseHead.EVENT_STREAM, requestId());
        }

        /** Responds like a full target, which has not run the request. */
        void refuseAsFull() {
            sentByRequest.merge(requestId(), -1, Integer::sum);
            finished = true;
            head(503, "application/json", requestId());
        }

        /** Responds with a status and a stated request rate. */
        void stateRate(int status, String rate) {
            send();
            finished = true;
            listener.headReceived(new ResponseHead(
                    status,
                    List.of(
                            new HeaderField(RequestHead.REQUEST_ID, requestId()),
                            new HeaderField(ResponseHead.REQUEST_RATE_LIMIT, rate))));
        }

        /** Responds with an error status and a header by which the dialect recognises that the request did not run. */
        void refuseWithoutRunning(String header) {
            finished = true;
            listener.headReceived(new ResponseHead(
                    503, List.of(new HeaderField(RequestHead.REQUEST_ID, requestId()), new HeaderField(header, "1"))));
        }

        void data(String text) {
            listener.bodyReceived(text.getBytes(StandardCharsets.UTF_8));
        }

        void end() {
            finished = true;
            listener.responseCompleted();
        }

        void fail(FailureKind kind, boolean reused) {
            finished = true;
            listener.failed(new Failure(kind, reused, "failure injected by the test"));
        }

        @Override
        public void extendWindow(int bytes) {
            windowBytes += bytes;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }
}
