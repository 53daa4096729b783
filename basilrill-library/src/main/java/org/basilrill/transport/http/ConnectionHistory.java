package org.basilrill.transport.http;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Optional;
import org.apache.hc.core5.http.HttpException;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.protocol.target.TargetConnector;

/**
 * What one connection has carried. A request never goes over a connection that has carried its id: a late repeat of the
 * response to the first attempt would pass for the response to the next one. Thread safe.
 */
final class ConnectionHistory {
    /** Bounds the memory of a connection that is used for days; repeats come within a few requests. */
    private static final int MAXIMUM_IDS = 64;

    private final Deque<String> requestIds = new ArrayDeque<>();
    private final ConnectionPurpose purpose;
    private boolean used;
    private boolean echoesIds;

    ConnectionHistory(ConnectionPurpose purpose) {
        this.purpose = purpose;
    }

    /** Records a request that is about to be sent. */
    synchronized void requestBegins(TargetConnector.Request request) {
        used = true;
        if (request.requestId().isEmpty()) {
            return;
        }
        requestIds.addLast(request.requestId());
        if (requestIds.size() > MAXIMUM_IDS) {
            requestIds.removeFirst();
        }
    }

    /**
     * Returns whether a response may belong to the request. The connection of another response is not used again, as
     * the response to this request may still arrive.
     *
     * @throws HttpException if the response has no id, although the target has echoed one on this connection
     */
    synchronized boolean isResponseTo(TargetConnector.Request request, ResponseHead head) throws HttpException {
        Optional<String> idField = request.idField();
        if (idField.isEmpty()) {
            return true;
        }
        Optional<String> echoed = head.header(idField.get());
        boolean own = echoed.filter(request.requestId()::equals).isPresent();
        if (echoed.isEmpty() && echoesIds && purpose.hasOneTarget()) {
            throw new HttpException("the response has no id, unlike earlier ones on its connection");
        }
        echoesIds |= own;
        return own || echoed.isEmpty();
    }

    /** Returns whether the connection has carried any request. */
    synchronized boolean isUsed() {
        return used;
    }

    /** Returns whether the connection has carried a request with the id of this one. */
    synchronized boolean hasCarried(TargetConnector.Request request) {
        return requestIds.contains(request.requestId());
    }
}
