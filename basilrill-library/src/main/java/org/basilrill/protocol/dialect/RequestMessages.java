package org.basilrill.protocol.dialect;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.protocol.caller.AnswerHead;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.state.target.TargetAnnouncement.Load;

/** Writes and reads the messages of one request. Implementations are immutable and thread safe. */
public interface RequestMessages {
    /** Returns the header fields for a target. */
    List<HeaderField> toTarget(TargetCall call);

    /** Returns the header fields of a target's answer that the caller receives. */
    List<HeaderField> toCaller(List<HeaderField> answer);

    /** Returns the id of the request that the target's answer names. */
    Optional<String> requestId(AnswerHead answer);

    /** Returns whether the target says by its answer that it ran nothing. */
    boolean ranNothing(AnswerHead answer);

    /**
     * Returns whether the target says that the request is not for it: it is another one by now, or does not hold the
     * model. It ran nothing then.
     */
    boolean misdirected(AnswerHead answer);

    /** Returns the load that the target tells with its answer. */
    Optional<Load> load(AnswerHead answer);

    /**
     * Returns what ends a stream of events that failed after it had begun; if empty, the caller's connection is cut, so
     * that the stream does not look complete.
     */
    Optional<byte[]> failureEvent(BasilrillException failure);
}
