package org.basilrill.coordination.consensus;

import java.util.function.Consumer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendResponse;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotChunk;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotResponse;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteResponse;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;

/**
 * Rejects messages that no correct replica sends, before they have any effect: a record that does not follow the
 * previous one would otherwise fail the store. Stateless and thread safe.
 */
final class MessageCheck {
    /** Far above any real term; a later one would leave no room for the terms after it. */
    private static final long MAXIMUM_TERM = Long.MAX_VALUE / 2;

    private MessageCheck() {}

    /**
     * Runs the action that handles the message unless the message is not valid.
     *
     * @param action may itself throw with {@link ErrorCode#MESSAGE_MALFORMED}, before it changes the log
     * @param invalid receives the violation of a message that is not valid
     */
    static void runUnlessInvalid(ConsensusMessage message, Runnable action, Consumer<BasilrillException> invalid) {
        try {
            check(message);
            action.run();
        } catch (BasilrillException exception) {
            if (exception.code() != ErrorCode.MESSAGE_MALFORMED) {
                throw exception;
            }
            invalid.accept(exception);
        }
    }

    private static void check(ConsensusMessage message) {
        if (message instanceof AppendRequest request) {
            checkAppend(request);
        } else if (message instanceof AppendResponse response) {
            requireTerm(response.term());
            require(response.index() >= 0, "the response names record " + response.index());
        } else if (message instanceof SnapshotChunk chunk) {
            checkChunk(chunk);
        } else if (message instanceof SnapshotResponse response) {
            requireTerm(response.term());
            require(response.nextOffset() >= 0, "the next offset is " + response.nextOffset());
        } else if (message instanceof VoteRequest request) {
            requireTerm(request.term());
        } else if (message instanceof VoteResponse response) {
            requireTerm(response.term());
        }
    }

    private static void checkAppend(AppendRequest request) {
        requireTerm(request.term());
        require(request.previousIndex() >= 0, "the previous record is " + request.previousIndex());
        long expected = request.previousIndex() + 1;
        for (LogRecord sent : request.entries()) {
            require(sent.index() == expected, String.format("record %d in the place of %d", sent.index(), expected));
            require(sent.term() <= request.term(), "a record has a later term than its leader");
            if (sent.kind() == RecordKind.MEMBERS) {
                requireMembers(sent.payload());
            }
            expected++;
        }
    }

    private static void checkChunk(SnapshotChunk chunk) {
        requireTerm(chunk.term());
        boolean placed = chunk.offset() >= 0 && chunk.totalBytes() >= 0 && chunk.lastIndex() > 0;
        require(placed && chunk.lastTerm() <= chunk.term(), "the place of the chunk is not valid");
        requireMembers(chunk.members());
    }

    private static void requireMembers(byte[] encoded) {
        require(!MemberSet.decode(encoded).voters().isEmpty(), "the member set is empty");
    }

    private static void requireTerm(long term) {
        require(term >= 0 && term <= MAXIMUM_TERM, "the term is " + term);
    }

    private static void require(boolean condition, String violation) {
        if (!condition) {
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, violation);
        }
    }
}
