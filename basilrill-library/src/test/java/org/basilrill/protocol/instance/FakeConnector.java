package org.basilrill.protocol.instance;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.state.target.TargetAnnouncement;

/** Targets in memory: the test decides what happens to each call. Not thread safe. */
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
    public CompletableFuture<Boolean> accepts(TargetAnnouncement target) {
        return CompletableFuture.completedFuture(accepting);
    }

    /** Decides whether targets accept new connections. */
    void setAccepting(boolean accept) {
        accepting = accept;
    }

    List<FakeCall> calls() {
        return calls;
    }

    FakeCall last() {
        return calls.get(calls.size() - 1);
    }

    /** Returns how often bytes of a request may have left. */
    int timesSent(String requestId) {
        return sentByRequest.getOrDefault(requestId, 0);
    }

    /** One call, driven by the test. */
    final class FakeCall implements Call {
        private final TargetAnnouncement target;
        private final Request request;
        private final boolean fresh;
        private final Listener listener;
        private int granted;
        private boolean sent;
        private boolean headSent;
        private boolean over;
        private boolean cancelled;

        FakeCall(TargetAnnouncement target, Request request, boolean fresh, Listener listener) {
            this.target = target;
            this.request = request;
            this.fresh = fresh;
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

        boolean fresh() {
            return fresh;
        }

        int granted() {
            return granted;
        }

        boolean cancelled() {
            return cancelled;
        }

        boolean active() {
            return !over && !cancelled;
        }

        boolean sent() {
            return sent;
        }

        boolean headSent() {
            return headSent;
        }

        /** Asks for the permit as a connector does before it writes. */
        void send() {
            if (!sent && listener.maySend()) {
                sent = true;
                sentByRequest.merge(requestId(), 1, Integer::sum);
            }
        }

        void head(int status, String type, String id) {
            headSent = true;
            listener.answered(new AnswerHead(
                    status,
                    id.isEmpty()
                            ? List.of(new HeaderField(AnswerHead.CONTENT_TYPE, type))
                            : List.of(
                                    new HeaderField(AnswerHead.CONTENT_TYPE, type),
                                    new HeaderField(RequestHead.REQUEST_ID, id))));
        }

        void stream() {
            send();
            head(200, AnswerHead.EVENT_STREAM, requestId());
        }

        /** Answers as a full target does, which has not run the request. */
        void refuseAsFull() {
            sentByRequest.merge(requestId(), -1, Integer::sum);
            over = true;
            head(503, "application/json", requestId());
        }

        /** Answers with a failure and a header that says, in the words of a dialect, that nothing ran. */
        void refuseUnrun(String header) {
            over = true;
            listener.answered(new AnswerHead(
                    503, List.of(new HeaderField(RequestHead.REQUEST_ID, requestId()), new HeaderField(header, "1"))));
        }

        void data(String text) {
            listener.received(text.getBytes(StandardCharsets.UTF_8));
        }

        void end() {
            over = true;
            listener.ended();
        }

        void fail(Kind kind, boolean reused) {
            over = true;
            listener.failed(new Failure(kind, reused, "made by the test"));
        }

        @Override
        public void grant(int bytes) {
            granted += bytes;
        }

        @Override
        public void cancel() {
            cancelled = true;
        }
    }
}
