package org.basilrill.state.control;

import java.util.List;
import java.util.Optional;
import org.basilrill.state.control.ControlCommand.FindStream;
import org.basilrill.state.control.ControlCommand.RecordStreams;
import org.basilrill.state.control.ControlCommand.RegisterVersion;
import org.basilrill.state.control.ControlCommand.RetireVersion;
import org.basilrill.thrift.control.CommandMessage;
import org.basilrill.thrift.control.FindStreamCommand;
import org.basilrill.thrift.control.RecordStreamsCommand;
import org.basilrill.thrift.control.RegisterVersionCommand;
import org.basilrill.thrift.control.RetireVersionCommand;
import org.basilrill.thrift.control.StreamRecord;

/** Converts the commands that concern streams and software versions. Stateless and thread safe. */
final class StreamCommandCodec {
    private StreamCommandCodec() {}

    /** Returns the message of a command; empty if it concerns no stream. */
    static Optional<CommandMessage> message(ControlCommand command) {
        if (command instanceof RegisterVersion register) {
            return Optional.of(
                    CommandMessage.registerVersion(new RegisterVersionCommand(register.service(), register.version())));
        }
        if (command instanceof RetireVersion retire) {
            return Optional.of(CommandMessage.retireVersion(
                    new RetireVersionCommand(retire.service(), retire.version(), retire.nowMillis())));
        }
        if (command instanceof RecordStreams record) {
            List<StreamRecord> streams = record.streams().stream()
                    .map(stream -> new StreamRecord(stream.requestId(), stream.service(), stream.version()))
                    .toList();
            return Optional.of(CommandMessage.recordStreams(new RecordStreamsCommand(streams, record.nowMillis())));
        }
        if (command instanceof FindStream find) {
            FindStreamCommand encoded = new FindStreamCommand(find.service(), find.windowMillis(), find.nowMillis());
            find.firstRequestId().ifPresent(encoded::setFirstRequestId);
            return Optional.of(CommandMessage.findStream(encoded));
        }
        return Optional.empty();
    }

    /** Returns the command of a message; empty if it concerns no stream. */
    static Optional<ControlCommand> decode(CommandMessage message) {
        return switch (message.getSetField()) {
            case REGISTER_VERSION -> {
                RegisterVersionCommand register = message.getRegisterVersion();
                yield Optional.of(new RegisterVersion(register.getServiceName(), register.getVersion()));
            }
            case RETIRE_VERSION -> {
                RetireVersionCommand retire = message.getRetireVersion();
                yield Optional.of(
                        new RetireVersion(retire.getServiceName(), retire.getVersion(), retire.getNowMillis()));
            }
            case RECORD_STREAMS -> {
                RecordStreamsCommand record = message.getRecordStreams();
                List<ControlCommand.StreamRecord> streams = record.getStreams().stream()
                        .map(stream -> new ControlCommand.StreamRecord(
                                stream.getRequestId(), stream.getServiceName(), stream.getVersion()))
                        .toList();
                yield Optional.of(new RecordStreams(streams, record.getNowMillis()));
            }
            case FIND_STREAM -> {
                FindStreamCommand find = message.getFindStream();
                yield Optional.of(new FindStream(
                        Optional.ofNullable(find.getFirstRequestId()),
                        find.getServiceName(),
                        find.getWindowMillis(),
                        find.getNowMillis()));
            }
            default -> Optional.empty();
        };
    }
}
