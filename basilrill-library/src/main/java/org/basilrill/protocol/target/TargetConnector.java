package org.basilrill.protocol.target;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.InstanceId;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.state.configuration.Residency;
import org.basilrill.state.target.TargetAnnouncement;

/** Sends requests to targets. Implementations are thread safe and never block. */
public interface TargetConnector {
    /**
     * Sends a request. Exactly one of {@link Listener#responseCompleted} and {@link Listener#failed} is called, unless
     * the call is cancelled.
     *
     * @param freshConnection whether the request must not reuse a connection of an earlier request
     */
    Call open(TargetAnnouncement target, Request request, boolean freshConnection, Listener listener);

    /**
     * Checks a target by opening a connection and closing it without sending anything.
     *
     * @return whether the target accepted the connection; the future never fails
     */
    CompletableFuture<Boolean> acceptsConnection(TargetAnnouncement target);

    /** Closes the idle connections to a target, whose path was lost since they were used. */
    default void discardIdleConnections(TargetAnnouncement target) {
        // A connector without idle connections has nothing to close.
    }

    /**
     * A request as a target receives it. The body must not be modified.
     *
     * @param pathAndQuery absolute path with the query
     * @param requestId id of the caller's request; empty if no caller's request is sent
     * @param residency data centres whose targets and relays may receive the request
     */
    record Request(
            String method,
            String pathAndQuery,
            List<HeaderField> headers,
            byte[] body,
            String requestId,
            Residency residency) {
        public Request {
            headers = List.copyOf(headers);
        }

        /** Creates a request that is not sent for a caller. */
        public Request(String method, String pathAndQuery, List<HeaderField> headers, byte[] body) {
            this(method, pathAndQuery, headers, body, "");
        }

        /** Creates a request that may be served everywhere. */
        public Request(String method, String pathAndQuery, List<HeaderField> headers, byte[] body, String requestId) {
            this(method, pathAndQuery, headers, body, requestId, Residency.EVERYWHERE);
        }

        /** Returns the name of the field that carries the id, which a target may echo. */
        public Optional<String> idField() {
            return requestId.isEmpty()
                    ? Optional.empty()
                    : headers.stream()
                            .filter(field -> field.value().equals(requestId))
                            .map(HeaderField::name)
                            .findFirst();
        }
    }

    /** One exchange with a target. Thread safe. */
    interface Call {
        /** Extends the receive window: allows the target to send this many more bytes of the body. */
        void extendWindow(int bytes);

        /** Ends the exchange and closes its connection, which cancels the request at the target. */
        void cancel();
    }

    /** Receives the events of one call, one at a time. Implementations never block. */
    interface Listener {
        /**
         * Returns whether the request may be sent. The connector calls this immediately before it sends the first byte,
         * and sends nothing if the result is false.
         */
        boolean maySend();

        /** Reports the head of the response. */
        void headReceived(ResponseHead head);

        /** Reports part of the body; the array belongs to the receiver. */
        void bodyReceived(byte[] bytes);

        /** Reports that the response is complete. */
        void responseCompleted();

        /** Reports that the exchange failed. */
        void failed(Failure failure);

        /** Reports, before the head, that another instance carries the exchange. */
        default void carriedBy(InstanceId relay) {
            // Most listeners do not depend on the way.
        }

        /**
         * Returns whether the exchange fails with {@link FailureKind#PATH_LOST} when its path is lost, instead of
         * waiting for the path to return.
         */
        default boolean abandonsLostPath() {
            return true;
        }
    }

    /**
     * Why an exchange failed. Bytes may have been sent only if {@link Listener#maySend} returned true.
     *
     * @param reusedConnection whether the connection had served another request before
     */
    record Failure(FailureKind kind, boolean reusedConnection, String detail) {}

    /** Kinds of failures of an exchange. */
    enum FailureKind {
        /** The connection could not be opened. */
        UNREACHABLE,
        /** The connection closed before the response was complete. */
        CONNECTION_LOST,
        /** The response is not valid HTTP. */
        INVALID_ANSWER,
        /**
         * The way to the target was lost: this instance's own path, or the instance that carried the exchange. Shows
         * nothing about the target.
         */
        PATH_LOST,
        /** No instance that could carry the exchange was reached; nothing was sent. Shows nothing about the target. */
        NO_PATH,
        /**
         * The target has stated that it wants no request from this instance, is in an evacuated data centre, or is in a
         * data centre that the request does not allow; nothing was sent.
         */
        NOT_ACCEPTED
    }
}
