package org.basilrill.protocol.relay;

import java.util.Arrays;
import java.util.Optional;
import org.basilrill.protocol.target.TargetConnector.Failure;
import org.basilrill.protocol.target.TargetConnector.FailureKind;

/** What the head of a relay's response states about the exchange. A head without a result was not sent by a relay. */
enum RelayResult {
    /** The head and the body are those of the target. */
    RESPONSE("response"),
    /** The target accepted a connection. */
    REACHED("reached"),
    /** The target accepted no connection from the relay; nothing was sent. */
    UNREACHABLE("unreachable"),
    /** The relay does not know the token; it may have started again since its token was published. */
    REJECTED("rejected"),
    /** The relay could not carry the exchange; nothing was sent. */
    NOT_SENT("not-sent"),
    /** The new connection to the target ended before the response began. */
    CONNECTION_LOST("connection-lost"),
    /** The reused connection to the target ended before the response began. */
    REUSED_CONNECTION_LOST("reused-connection-lost"),
    /** The response of the target is not valid HTTP. */
    INVALID_RESPONSE("invalid-response"),
    /** The relay lost its own path to the target, which may have run the request. */
    PATH_LOST("path-lost"),
    /** The target has stated that it wants no request from the relay; nothing was sent. */
    NOT_ACCEPTED("not-accepted");

    private final String text;

    RelayResult(String text) {
        this.text = text;
    }

    /** Returns the result as it is sent. */
    String text() {
        return text;
    }

    static Optional<RelayResult> parse(String text) {
        return Arrays.stream(values())
                .filter(result -> result.text.equals(text))
                .findFirst();
    }

    /** Returns the failure that the result states. */
    Failure failure(String detail) {
        return switch (this) {
            case CONNECTION_LOST -> new Failure(FailureKind.CONNECTION_LOST, false, detail);
            case REUSED_CONNECTION_LOST -> new Failure(FailureKind.CONNECTION_LOST, true, detail);
            case INVALID_RESPONSE -> new Failure(FailureKind.INVALID_ANSWER, false, detail);
            case NOT_ACCEPTED -> new Failure(FailureKind.NOT_ACCEPTED, false, detail);
            case PATH_LOST -> new Failure(FailureKind.PATH_LOST, false, detail);
            case UNREACHABLE -> new Failure(FailureKind.UNREACHABLE, false, detail);
            default -> new Failure(FailureKind.NO_PATH, false, detail);
        };
    }

    /** Returns the result that states a failure of the exchange with the target. */
    static RelayResult of(Failure failure) {
        return switch (failure.kind()) {
            case UNREACHABLE -> UNREACHABLE;
            case NO_PATH -> NOT_SENT;
            case INVALID_ANSWER -> INVALID_RESPONSE;
            case PATH_LOST -> PATH_LOST;
            case NOT_ACCEPTED -> NOT_ACCEPTED;
            default -> failure.reusedConnection() ? REUSED_CONNECTION_LOST : CONNECTION_LOST;
        };
    }
}
