package org.basilrill.protocol.dialect;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.ResponseHead;
import org.basilrill.state.target.RequestRate;
import org.basilrill.state.target.TargetAnnouncement.Load;

/** Formats and parses the messages that belong to one request. Implementations are immutable and thread safe. */
public interface RequestMessages {
    /** Returns the header fields of the request to a target. */
    List<HeaderField> targetHeaders(TargetCall call);

    /** Returns the header fields of a target's response that are forwarded to the caller. */
    List<HeaderField> callerHeaders(List<HeaderField> response);

    /** Returns the request id in the target's response. */
    Optional<String> requestId(ResponseHead response);

    /** Returns whether the response states that the target did not run the request. */
    boolean reportsNotRun(ResponseHead response);

    /**
     * Returns whether the response states that the request reached the wrong target: another target has taken over the
     * address, or the model is not resident. The target did not run the request then.
     */
    boolean reportsMisdirected(ResponseHead response);

    /**
     * Returns whether the response is a success without the signature that each success of a target carries. It is no
     * response of a target then, or not all of one.
     */
    default boolean isUnsigned(ResponseHead response) {
        // Most targets do not sign their responses.
        return false;
    }

    /** Returns the target's load, if its response states it. */
    Optional<Load> load(ResponseHead response);

    /** Returns the requests per second that the target accepts from all instances, if its response states them. */
    Optional<RequestRate> requestRate(ResponseHead response);

    /**
     * Returns the event that ends a stream of events which failed after its start. If empty, the caller's connection is
     * closed abruptly, so that the stream does not look complete.
     */
    Optional<byte[]> failureEvent(BasilrillException failure);
}
