package org.basilrill.protocol.peer;

import java.nio.ByteBuffer;
import java.util.List;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.coordination.consensus.AddressedMessage;
import org.basilrill.coordination.consensus.ConsensusMessage;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendAnswer;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.FoundAnswer;
import org.basilrill.coordination.consensus.ConsensusMessage.FoundRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.JoinRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotAnswer;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotChunk;
import org.basilrill.coordination.consensus.ConsensusMessage.StoreState;
import org.basilrill.coordination.consensus.ConsensusMessage.TimeoutNow;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteAnswer;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteRequest;
import org.basilrill.state.codec.ThriftCodec;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.thrift.consensus.Body;
import org.basilrill.thrift.consensus.ConsensusEnvelope;
import org.basilrill.thrift.consensus.Entry;

/** Encodes and decodes the consensus messages of the control log as Thrift structs. Stateless and thread safe. */
public final class ConsensusCodec {
    private static final RecordKind[] KINDS = {RecordKind.COMMAND, RecordKind.MEMBERS, RecordKind.NO_OPERATION};
    private static final StoreState[] STORE_STATES = {
        StoreState.EMPTY, StoreState.RESERVED_FOR_SENDER, StoreState.IN_USE
    };

    private ConsensusCodec() {}

    /** Encodes one message. */
    public static byte[] encode(AddressedMessage addressed) {
        ConsensusEnvelope envelope = new ConsensusEnvelope(
                addressed.senderIncarnation(), addressed.recipientIncarnation(), encodeBody(addressed.message()));
        return ThriftCodec.encode(envelope);
    }

    /**
     * Decodes one message.
     *
     * @throws BasilrillException with {@link ErrorCode#MESSAGE_MALFORMED} if the payload is not a consensus message
     */
    public static AddressedMessage decode(byte[] payload) {
        ConsensusEnvelope envelope = ThriftCodec.decode(ConsensusEnvelope::new, payload);
        return new AddressedMessage(
                envelope.getSenderIncarnation(), envelope.getRecipientIncarnation(), decodeBody(envelope.getBody()));
    }

    private static Body encodeBody(ConsensusMessage message) {
        if (message instanceof AppendRequest append) {
            return Body.appendRequest(new org.basilrill.thrift.consensus.AppendRequest(
                    append.term(),
                    append.previousIndex(),
                    append.previousTerm(),
                    append.commitIndex(),
                    append.round(),
                    append.entries().stream().map(ConsensusCodec::encodeEntry).toList()));
        }
        if (message instanceof AppendAnswer response) {
            return Body.appendAnswer(new org.basilrill.thrift.consensus.AppendAnswer(
                    response.term(), response.matched(), response.index(), response.round()));
        }
        if (message instanceof VoteRequest request) {
            return Body.voteRequest(new org.basilrill.thrift.consensus.VoteRequest(
                            request.term(), request.lastIndex(), request.lastTerm(), request.preVote())
                    .setHandedOver(request.handedOver()));
        }
        if (message instanceof VoteAnswer response) {
            return Body.voteAnswer(new org.basilrill.thrift.consensus.VoteAnswer(
                    response.term(), response.preVote(), response.granted()));
        }
        if (message instanceof SnapshotChunk chunk) {
            return Body.snapshotChunk(new org.basilrill.thrift.consensus.SnapshotChunk(
                    chunk.term(),
                    chunk.lastIndex(),
                    chunk.lastTerm(),
                    ByteBuffer.wrap(chunk.members()),
                    chunk.offset(),
                    chunk.totalBytes(),
                    ByteBuffer.wrap(chunk.data()),
                    chunk.round()));
        }
        if (message instanceof SnapshotAnswer response) {
            return Body.snapshotAnswer(new org.basilrill.thrift.consensus.SnapshotAnswer(
                    response.term(), response.lastIndex(), response.nextOffset(), response.round()));
        }
        if (message instanceof FoundRequest request) {
            return Body.foundRequest(new org.basilrill.thrift.consensus.FoundRequest(request.round(), request.grant()));
        }
        if (message instanceof FoundAnswer response) {
            return Body.foundAnswer(new org.basilrill.thrift.consensus.FoundAnswer(
                    response.round(), toWireNumber(STORE_STATES, response.state())));
        }
        if (message instanceof TimeoutNow request) {
            return Body.timeoutNow(new org.basilrill.thrift.consensus.TimeoutNow(request.term()));
        }
        return Body.joinRequest(new org.basilrill.thrift.consensus.JoinRequest());
    }

    private static Entry encodeEntry(LogRecord logged) {
        return new Entry(
                logged.index(), logged.term(), toWireNumber(KINDS, logged.kind()), ByteBuffer.wrap(logged.payload()));
    }

    private static ConsensusMessage decodeBody(Body body) {
        if (body == null || !body.isSet()) {
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "consensus message has no known body");
        }
        return switch (body.getSetField()) {
            case APPEND_REQUEST -> decodeAppendRequest(body.getAppendRequest());
            case APPEND_ANSWER -> {
                var response = body.getAppendAnswer();
                yield new AppendAnswer(
                        response.getTerm(), response.isMatched(), response.getIndex(), response.getRound());
            }
            case VOTE_REQUEST -> {
                var request = body.getVoteRequest();
                yield new VoteRequest(
                        request.getTerm(),
                        request.getLastIndex(),
                        request.getLastTerm(),
                        request.isPreVote(),
                        request.isHandedOver());
            }
            case VOTE_ANSWER -> {
                var response = body.getVoteAnswer();
                yield new VoteAnswer(response.getTerm(), response.isPreVote(), response.isGranted());
            }
            case SNAPSHOT_CHUNK -> decodeSnapshotChunk(body.getSnapshotChunk());
            case SNAPSHOT_ANSWER -> {
                var response = body.getSnapshotAnswer();
                yield new SnapshotAnswer(
                        response.getTerm(), response.getLastIndex(), response.getNextOffset(), response.getRound());
            }
            case FOUND_REQUEST -> {
                var request = body.getFoundRequest();
                yield new FoundRequest(request.getRound(), request.isGrant());
            }
            case FOUND_ANSWER -> {
                var response = body.getFoundAnswer();
                yield new FoundAnswer(response.getRound(), fromWireNumber(STORE_STATES, response.getState()));
            }
            case TIMEOUT_NOW -> new TimeoutNow(body.getTimeoutNow().getTerm());
            case JOIN_REQUEST -> new JoinRequest();
        };
    }

    private static AppendRequest decodeAppendRequest(org.basilrill.thrift.consensus.AppendRequest append) {
        List<LogRecord> entries = append.getEntries().stream()
                .map(entry -> new LogRecord(
                        entry.getIndex(), entry.getTerm(), fromWireNumber(KINDS, entry.getKind()), entry.getPayload()))
                .toList();
        return new AppendRequest(
                append.getTerm(),
                append.getPreviousIndex(),
                append.getPreviousTerm(),
                append.getCommitIndex(),
                append.getRound(),
                entries);
    }

    private static SnapshotChunk decodeSnapshotChunk(org.basilrill.thrift.consensus.SnapshotChunk chunk) {
        return new SnapshotChunk(
                chunk.getTerm(),
                chunk.getLastIndex(),
                chunk.getLastTerm(),
                chunk.getMembers(),
                chunk.getOffset(),
                chunk.getTotalBytes(),
                chunk.getData(),
                chunk.getRound());
    }

    private static <T> byte toWireNumber(T[] values, T value) {
        return (byte) (List.of(values).indexOf(value) + 1);
    }

    private static <T> T fromWireNumber(T[] values, byte wireNumber) {
        if (wireNumber < 1 || wireNumber > values.length) {
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "unknown enum number " + wireNumber);
        }
        return values[wireNumber - 1];
    }
}
