package org.basilrill.protocol.instance;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.state.target.TargetAnnouncement;

/** Sends requests to targets. Implementations are thread safe and never block. */
public interface TargetConnector {
    /**
     * Sends a request. Exactly one of {@link Listener#ended} and {@link Listener#failed} follows, unless the call is
     * cancelled.
     *
     * @param freshConnection whether the request must not use a connection that served another one before
     */
    Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener);

    /**
     * Opens a connection and closes it again without sending anything.
     *
     * @return whether the target accepted the connection; does not fail
     */
    CompletableFuture<Boolean> accepts(TargetAnnouncement target);

    /**
     * A request as a target receives it. The body must not be modified.
     *
     * @param pathAndQuery absolute path with the query
     */
    record Request(String method, String pathAndQuery, List<HeaderField> headers, byte[] body) {
        public Request {
            headers = List.copyOf(headers);
        }
    }

    /** One exchange with a target. Thread safe. */
    interface Call {
        /** Lets the target send that many more bytes of the answer's body. */
        void grant(int bytes);

        /** Ends the exchange and closes its connection, which tells the target to stop. */
        void cancel();
    }

    /** Receives the events of one call, one at a time. Implementations never block. */
    interface Listener {
        /**
         * Asks for permission to send, immediately before the first byte may leave; the connector sends nothing if the
         * answer is false.
         */
        boolean maySend();

        /** Reports the head of the answer. */
        void answered(AnswerHead head);

        /** Reports part of the body; the array belongs to the receiver. */
        void received(byte[] bytes);

        /** Reports that the answer is complete. */
        void ended();

        /** Reports that the exchange failed. */
        void failed(Failure failure);
    }

    /**
     * Why an exchange failed. Whether a byte may have left follows from {@link Listener#maySend}.
     *
     * @param reusedConnection whether the connection had served another request before
     */
    record Failure(Kind kind, boolean reusedConnection, String detail) {}

    /** Kinds of failures of an exchange. */
    enum Kind {
        /** The connection could not be opened. */
        UNREACHABLE,
        /** The connection ended before the answer was complete. */
        CONNECTION_LOST,
        /** The answer is not valid HTTP. */
        INVALID_ANSWER
    }
}
