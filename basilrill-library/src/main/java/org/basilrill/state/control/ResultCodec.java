package org.basilrill.state.control;

import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.state.codec.ThriftCodec;
import org.basilrill.state.control.ControlResult.BucketHeld;
import org.basilrill.state.control.ControlResult.CrashCount;
import org.basilrill.state.control.ControlResult.CrashVerdicts;
import org.basilrill.state.control.ControlResult.Done;
import org.basilrill.state.control.ControlResult.OrderFinished;
import org.basilrill.state.control.ControlResult.OrderGranted;
import org.basilrill.state.control.ControlResult.OrderReserved;
import org.basilrill.state.control.ControlResult.OrderRunning;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.state.control.ControlResult.RulesAccepted;
import org.basilrill.state.control.ControlResult.RulesConflict;
import org.basilrill.state.control.ControlResult.StreamVersion;
import org.basilrill.thrift.control.BucketHeldResult;
import org.basilrill.thrift.control.CrashCountResult;
import org.basilrill.thrift.control.CrashVerdictsResult;
import org.basilrill.thrift.control.DoneResult;
import org.basilrill.thrift.control.LossVerdict;
import org.basilrill.thrift.control.OrderFinishedResult;
import org.basilrill.thrift.control.OrderGrantedResult;
import org.basilrill.thrift.control.OrderReservedResult;
import org.basilrill.thrift.control.OrderRunningResult;
import org.basilrill.thrift.control.PromptPart;
import org.basilrill.thrift.control.RefusedResult;
import org.basilrill.thrift.control.ResultMessage;
import org.basilrill.thrift.control.RulesAcceptedResult;
import org.basilrill.thrift.control.RulesConflictResult;
import org.basilrill.thrift.control.StreamVersionResult;

/** Converts results of commands to bytes and back. Stateless and thread safe. */
public final class ResultCodec {
    private ResultCodec() {}

    /** Encodes a result. */
    public static byte[] encode(ControlResult result) {
        return ThriftCodec.encode(message(result));
    }

    /** Decodes a result. Throws a {@link BasilrillException} with {@code MESSAGE_MALFORMED} or {@code INVALID_NAME}. */
    public static ControlResult decode(byte[] bytes) {
        ResultMessage message = ThriftCodec.decode(ResultMessage::new, bytes);
        if (!message.isSet()) {
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "the message contains no known result");
        }
        switch (message.getSetField()) {
            case DONE:
                return new Done();
            case RULES_ACCEPTED:
                return new RulesAccepted(message.getRulesAccepted().getRevision());
            case RULES_CONFLICT:
                RulesConflictResult conflict = message.getRulesConflict();
                return new RulesConflict(conflict.getCurrentRevision(), conflict.getWinner());
            case ORDER_GRANTED:
                return new OrderGranted();
            case ORDER_RUNNING:
                return new OrderRunning(new InstanceId(message.getOrderRunning().getHolder()));
            case ORDER_FINISHED:
                OrderFinishedResult finished = message.getOrderFinished();
                return new OrderFinished(
                        WireEnums.fromWire(finished.getOutcome()), WireEnums.fromWire(finished.getAnswer()));
            case BUCKET_HELD:
                BucketHeldResult held = message.getBucketHeld();
                return new BucketHeld(new InstanceId(held.getOwner()), held.getEpoch());
            case ORDER_RESERVED:
                return new OrderReserved(message.getOrderReserved().getFencingNumber());
            case CRASH_COUNT:
                return crashCount(message.getCrashCount());
            case STREAM_VERSION:
                return new StreamVersion(
                        Optional.ofNullable(message.getStreamVersion().getVersion()));
            case CRASH_VERDICTS:
                return new CrashVerdicts(message.getCrashVerdicts().getVerdicts().stream()
                        .map(verdict -> WireEnums.fromWire(verdict.getRefusing()))
                        .toList());
            case REFUSED:
                RefusedResult refused = message.getRefused();
                return new Refused(code(refused.getCode()), refused.getDetail());
            default:
                throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "the message contains no known result");
        }
    }

    private static ResultMessage message(ControlResult result) {
        if (result instanceof Done) {
            return ResultMessage.done(new DoneResult());
        }
        if (result instanceof RulesAccepted accepted) {
            return ResultMessage.rulesAccepted(new RulesAcceptedResult(accepted.revision()));
        }
        if (result instanceof RulesConflict conflict) {
            return ResultMessage.rulesConflict(new RulesConflictResult(conflict.currentRevision(), conflict.winner()));
        }
        if (result instanceof OrderGranted) {
            return ResultMessage.orderGranted(new OrderGrantedResult());
        }
        if (result instanceof OrderRunning running) {
            return ResultMessage.orderRunning(
                    new OrderRunningResult(running.holder().value()));
        }
        if (result instanceof OrderFinished finished) {
            OrderFinishedResult encoded = new OrderFinishedResult(WireEnums.toWire(finished.outcome()));
            finished.response().map(WireEnums::toWire).ifPresent(encoded::setAnswer);
            return ResultMessage.orderFinished(encoded);
        }
        if (result instanceof BucketHeld held) {
            return ResultMessage.bucketHeld(new BucketHeldResult(held.owner().value(), held.epoch()));
        }
        if (result instanceof OrderReserved reserved) {
            return ResultMessage.orderReserved(new OrderReservedResult(reserved.fencingNumber()));
        }
        if (result instanceof CrashCount count) {
            CrashCountResult encoded = new CrashCountResult(count.targets());
            encoded.setBlockedParts(
                    count.blockedParts().stream().map(WireEnums::toWire).toList());
            return ResultMessage.crashCount(encoded);
        }
        if (result instanceof CrashVerdicts verdicts) {
            return ResultMessage.crashVerdicts(new CrashVerdictsResult(verdicts.refusing().stream()
                    .map(refusing -> new LossVerdict(
                            refusing.stream().map(WireEnums::toWire).toList()))
                    .toList()));
        }
        if (result instanceof StreamVersion stream) {
            StreamVersionResult encoded = new StreamVersionResult();
            stream.version().ifPresent(encoded::setVersion);
            return ResultMessage.streamVersion(encoded);
        }
        if (result instanceof Refused refused) {
            return ResultMessage.refused(new RefusedResult(refused.code().name(), refused.detail()));
        }
        throw new BasilrillException(ErrorCode.INTERNAL, "no encoding for " + result.getClass());
    }

    private static CrashCount crashCount(CrashCountResult count) {
        List<PromptPart> blocked = Optional.ofNullable(count.getBlockedParts()).orElse(List.of());
        return new CrashCount(
                count.getTargets(), blocked.stream().map(WireEnums::fromWire).toList());
    }

    /** Returns the error code of this name, or {@code INTERNAL} for a name that only a newer version knows. */
    private static ErrorCode code(String name) {
        return Arrays.stream(ErrorCode.values())
                .filter(code -> code.name().equals(name))
                .findFirst()
                .orElse(ErrorCode.INTERNAL);
    }
}
