package org.basilrill.state.control;

import java.util.List;
import java.util.Optional;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.SuspectId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlCommand.LostRequest;
import org.basilrill.state.control.ControlCommand.ReleaseSuspect;
import org.basilrill.state.control.ControlCommand.ReportCrashEvidence;
import org.basilrill.state.control.ControlCommand.RequestTrial;
import org.basilrill.state.control.ControlCommand.SuspectAnswer;
import org.basilrill.thrift.control.CommandMessage;
import org.basilrill.thrift.control.ReleaseSuspectCommand;
import org.basilrill.thrift.control.ReportCrashEvidenceCommand;
import org.basilrill.thrift.control.RequestTrialCommand;
import org.basilrill.thrift.control.Suspect;

/** Converts the commands that concern suspects to messages and back. Stateless and thread safe. */
final class SuspectCommandCodec {
    private SuspectCommandCodec() {}

    /** Returns the message of a command; empty if the command concerns no suspects. */
    static Optional<CommandMessage> message(ControlCommand command) {
        if (command instanceof ReportCrashEvidence evidence) {
            return Optional.of(CommandMessage.reportCrashEvidence(new ReportCrashEvidenceCommand(
                    evidence.lost().stream().map(SuspectCommandCodec::toWire).toList(),
                    evidence.answers().stream().map(SuspectCommandCodec::toWire).toList(),
                    evidence.nowMillis())));
        }
        if (command instanceof RequestTrial trial) {
            return Optional.of(CommandMessage.requestTrial(
                    new RequestTrialCommand(WireEnums.toWire(trial.suspect()), trial.nowMillis())));
        }
        return command instanceof ReleaseSuspect release
                ? Optional.of(
                        CommandMessage.releaseSuspect(new ReleaseSuspectCommand(WireEnums.toWire(release.suspect()))))
                : Optional.empty();
    }

    /**
     * Returns the command of a message; empty if it concerns no suspects.
     *
     * @throws BasilrillException with {@code MESSAGE_MALFORMED} if it names a suspect of an unknown kind
     */
    static Optional<ControlCommand> decode(CommandMessage message) {
        if (message.isSetReportCrashEvidence()) {
            ReportCrashEvidenceCommand report = message.getReportCrashEvidence();
            return Optional.of(new ReportCrashEvidence(
                    report.getLost().stream().map(SuspectCommandCodec::fromWire).toList(),
                    report.getAnswers().stream()
                            .map(SuspectCommandCodec::fromWire)
                            .toList(),
                    report.getNowMillis()));
        }
        if (message.isSetRequestTrial()) {
            RequestTrialCommand trial = message.getRequestTrial();
            return Optional.of(new RequestTrial(known(trial.getSuspect()), trial.getNowMillis()));
        }
        return message.isSetReleaseSuspect()
                ? Optional.of(
                        new ReleaseSuspect(known(message.getReleaseSuspect().getSuspect())))
                : Optional.empty();
    }

    private static org.basilrill.thrift.control.LostRequest toWire(LostRequest lost) {
        List<Suspect> suspects = lost.suspects().stream().map(WireEnums::toWire).toList();
        org.basilrill.thrift.control.LostRequest encoded = new org.basilrill.thrift.control.LostRequest(
                lost.target().value(), lost.targetIncarnation(), lost.ageMillis(), lost.runningMillis(), suspects);
        lost.version().ifPresent(encoded::setSoftwareVersion);
        return encoded;
    }

    private static LostRequest fromWire(org.basilrill.thrift.control.LostRequest lost) {
        return new LostRequest(
                new TargetId(lost.getTarget()),
                lost.getTargetIncarnation(),
                Optional.ofNullable(lost.getSoftwareVersion()),
                lost.getAgeMillis(),
                lost.getRunningMillis(),
                lost.getSuspects().stream().map(SuspectCommandCodec::known).toList());
    }

    private static org.basilrill.thrift.control.SuspectAnswer toWire(SuspectAnswer answer) {
        org.basilrill.thrift.control.SuspectAnswer encoded =
                new org.basilrill.thrift.control.SuspectAnswer(WireEnums.toWire(answer.suspect()), answer.ageMillis());
        answer.softwareVersion().ifPresent(encoded::setSoftwareVersion);
        return encoded;
    }

    private static SuspectAnswer fromWire(org.basilrill.thrift.control.SuspectAnswer answer) {
        return new SuspectAnswer(
                known(answer.getSuspect()), answer.getAgeMillis(), Optional.ofNullable(answer.getSoftwareVersion()));
    }

    /** A record with a suspect of a later kind needs a later format level, so no replica of this build gets one. */
    private static SuspectId known(Suspect suspect) {
        return WireEnums.fromWire(suspect)
                .orElseThrow(
                        () -> new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "the suspect is of an unknown kind"));
    }
}
