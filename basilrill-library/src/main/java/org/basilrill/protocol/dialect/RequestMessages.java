package org.basilrill.protocol.dialect;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.state.target.TargetAnnouncement.Load;

/** Formats and parses the messages that belong to one request. Implementations are immutable and thread safe. */
public interface RequestMessages {
    /** Returns the header fields of the request to a target. */
    List<HeaderField> toTarget(TargetCall call);

    /** Returns the header fields of a target's response that are forwarded to the caller. */
    List<HeaderField> toCaller(List<HeaderField> response);

    /** Returns the request id in the target's response. */
    Optional<String> requestId(AnswerHead response);

    /** Returns whether the response states that the target did not run the request. */
    boolean ranNothing(AnswerHead response);

    /**
     * Returns whether the response states that the request reached the wrong target: another target has taken over the
     * address, or the model is not resident. The target did not run the request then.
     */
    boolean misdirected(AnswerHead response);

    /** Returns the target's load, if its response states it. */
    Optional<Load> load(AnswerHead response);

    /**
     * Returns the event that ends a stream of events which failed after its start. If empty, the caller's connection is
     * closed abruptly, so that the stream does not look complete.
     */
    Optional<byte[]> failureEvent(BasilrillException failure);
}
