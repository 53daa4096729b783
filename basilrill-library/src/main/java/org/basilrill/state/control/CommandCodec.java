package org.basilrill.state.control;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.ModelId;
import org.basilrill.api.TargetId;
import org.basilrill.state.codec.ThriftCodec;
import org.basilrill.state.control.ControlCommand.AssignBucket;
import org.basilrill.state.control.ControlCommand.BeginEvacuation;
import org.basilrill.state.control.ControlCommand.ClaimOrder;
import org.basilrill.state.control.ControlCommand.EndEvacuation;
import org.basilrill.state.control.ControlCommand.ExpireSession;
import org.basilrill.state.control.ControlCommand.FinishOrder;
import org.basilrill.state.control.ControlCommand.InstallRules;
import org.basilrill.state.control.ControlCommand.IntendOrder;
import org.basilrill.state.control.ControlCommand.ObserveTarget;
import org.basilrill.state.control.ControlCommand.RegisterSession;
import org.basilrill.state.control.ControlCommand.ReleasePart;
import org.basilrill.state.control.ControlCommand.ReplaceRules;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlCommand.ReportPartAnswers;
import org.basilrill.state.control.ControlCommand.RequestPartTrial;
import org.basilrill.state.control.ControlCommand.ResolveOrder;
import org.basilrill.state.target.TargetAnnouncement.LoadedModel;
import org.basilrill.thrift.control.AssignBucketCommand;
import org.basilrill.thrift.control.ClaimOrderCommand;
import org.basilrill.thrift.control.CommandMessage;
import org.basilrill.thrift.control.EvacuationCommand;
import org.basilrill.thrift.control.ExpireSessionCommand;
import org.basilrill.thrift.control.FinishOrderCommand;
import org.basilrill.thrift.control.InstallRulesCommand;
import org.basilrill.thrift.control.IntendOrderCommand;
import org.basilrill.thrift.control.LoadedModelReport;
import org.basilrill.thrift.control.ObserveTargetCommand;
import org.basilrill.thrift.control.PartAnswer;
import org.basilrill.thrift.control.RegisterSessionCommand;
import org.basilrill.thrift.control.ReleasePartCommand;
import org.basilrill.thrift.control.ReplaceRulesCommand;
import org.basilrill.thrift.control.ReportCrashCommand;
import org.basilrill.thrift.control.ReportPartAnswersCommand;
import org.basilrill.thrift.control.RequestPartTrialCommand;
import org.basilrill.thrift.control.ResolveOrderCommand;

/** Converts commands of the control log to bytes and back. Stateless and thread safe. */
public final class CommandCodec {
    private CommandCodec() {}

    /** Encodes a command. */
    public static byte[] encode(ControlCommand command) {
        return ThriftCodec.encode(message(command));
    }

    /**
     * Decodes a command. Throws a {@link BasilrillException} with {@code MESSAGE_MALFORMED} or {@code INVALID_NAME}.
     */
    public static ControlCommand decode(byte[] bytes) {
        CommandMessage message = ThriftCodec.decode(CommandMessage::new, bytes);
        if (!message.isSet()) {
            throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "the message contains no known command");
        }
        switch (message.getSetField()) {
            case REPLACE_RULES:
                ReplaceRulesCommand replace = message.getReplaceRules();
                return new ReplaceRules(replace.getExpectedRevision(), replace.getText(), replace.getOperatorName());
            case INSTALL_RULES:
                InstallRulesCommand install = message.getInstallRules();
                return new InstallRules(install.getRevision(), install.getText(), install.getOperatorName());
            case CLAIM_ORDER:
                return claim(message.getClaimOrder());
            case FINISH_ORDER:
                return finish(message.getFinishOrder());
            case ASSIGN_BUCKET:
                return assign(message.getAssignBucket());
            case INTEND_ORDER:
                return intend(message.getIntendOrder());
            case RESOLVE_ORDER:
                ResolveOrderCommand resolve = message.getResolveOrder();
                return new ResolveOrder(resolve.getOrderId(), WireEnums.fromWire(resolve.getOutcome()));
            case OBSERVE_TARGET:
                return observe(message.getObserveTarget());
            case REPORT_CRASH:
                return crash(message.getReportCrash());
            case REPORT_PART_ANSWERS:
                return answers(message.getReportPartAnswers());
            case REQUEST_PART_TRIAL:
                RequestPartTrialCommand trial = message.getRequestPartTrial();
                return new RequestPartTrial(WireEnums.fromWire(trial.getPart()), trial.getNowMillis());
            case RELEASE_PART:
                return new ReleasePart(
                        WireEnums.fromWire(message.getReleasePart().getPart()));
            case REGISTER_SESSION:
                RegisterSessionCommand register = message.getRegisterSession();
                return new RegisterSession(new InstanceId(register.getInstance()), register.getSessionId());
            case EXPIRE_SESSION:
                ExpireSessionCommand expire = message.getExpireSession();
                return new ExpireSession(new InstanceId(expire.getInstance()), expire.getSessionId());
            case BEGIN_EVACUATION:
                EvacuationCommand begin = message.getBeginEvacuation();
                return new BeginEvacuation(begin.getDataCentre(), begin.getAttempt());
            case END_EVACUATION:
                EvacuationCommand end = message.getEndEvacuation();
                return new EndEvacuation(end.getDataCentre(), end.getAttempt());
            default:
                return SuspectCommandCodec.decode(message)
                        .or(() -> StreamCommandCodec.decode(message))
                        .orElseThrow(() -> new BasilrillException(
                                ErrorCode.MESSAGE_MALFORMED, "the message contains no known command"));
        }
    }

    private static CommandMessage message(ControlCommand command) {
        if (command instanceof ReplaceRules replace) {
            return CommandMessage.replaceRules(
                    new ReplaceRulesCommand(replace.expectedRevision(), replace.text(), replace.operator()));
        }
        if (command instanceof InstallRules install) {
            return CommandMessage.installRules(
                    new InstallRulesCommand(install.revision(), install.text(), install.operator()));
        }
        if (command instanceof ClaimOrder claim) {
            return CommandMessage.claimOrder(new ClaimOrderCommand(
                    claim.account().value(),
                    claim.idempotencyKey(),
                    claim.fingerprint(),
                    claim.attempt(),
                    claim.instance().value(),
                    claim.sessionId(),
                    claim.nowMillis()));
        }
        if (command instanceof FinishOrder finish) {
            FinishOrderCommand encoded = new FinishOrderCommand(
                    finish.account().value(),
                    finish.idempotencyKey(),
                    finish.attempt(),
                    WireEnums.toWire(finish.outcome()));
            finish.response().map(WireEnums::toWire).ifPresent(encoded::setAnswer);
            return CommandMessage.finishOrder(encoded);
        }
        if (command instanceof AssignBucket assign) {
            return CommandMessage.assignBucket(new AssignBucketCommand(
                    assign.account().value(),
                    assign.owner().value(),
                    assign.sessionId(),
                    assign.expectedEpoch(),
                    assign.handedOverTokens()));
        }
        if (command instanceof RegisterSession register) {
            return CommandMessage.registerSession(
                    new RegisterSessionCommand(register.instance().value(), register.sessionId()));
        }
        if (command instanceof ExpireSession expire) {
            return CommandMessage.expireSession(
                    new ExpireSessionCommand(expire.instance().value(), expire.sessionId()));
        }
        if (command instanceof BeginEvacuation begin) {
            return CommandMessage.beginEvacuation(new EvacuationCommand(begin.dataCentre(), begin.attempt()));
        }
        if (command instanceof EndEvacuation end) {
            return CommandMessage.endEvacuation(new EvacuationCommand(end.dataCentre(), end.attempt()));
        }
        return targetMessage(command);
    }

    private static CommandMessage targetMessage(ControlCommand command) {
        if (command instanceof IntendOrder intend) {
            return CommandMessage.intendOrder(new IntendOrderCommand(
                    intend.target().value(),
                    intend.targetIncarnation(),
                    intend.orderId(),
                    WireEnums.toWire(intend.kind()),
                    intend.model().value(),
                    intend.version(),
                    intend.bytes()));
        }
        if (command instanceof ResolveOrder resolve) {
            return CommandMessage.resolveOrder(
                    new ResolveOrderCommand(resolve.orderId(), WireEnums.toWire(resolve.outcome())));
        }
        if (command instanceof ObserveTarget observe) {
            List<LoadedModelReport> contents = observe.contents().entrySet().stream()
                    .sorted(Map.Entry.comparingByKey())
                    .map(entry -> new LoadedModelReport(
                            entry.getKey().value(),
                            entry.getValue().version(),
                            entry.getValue().memoryBytes(),
                            entry.getValue().ready()))
                    .toList();
            return CommandMessage.observeTarget(new ObserveTargetCommand(
                    observe.target().value(),
                    observe.incarnation(),
                    observe.memoryBytes(),
                    contents,
                    observe.enforcesFencing()));
        }
        if (command instanceof ReportCrash crash) {
            ReportCrashCommand encoded = new ReportCrashCommand(
                    crash.fingerprint(), crash.target().value(), crash.targetIncarnation(), crash.nowMillis());
            encoded.setPromptParts(
                    crash.promptParts().stream().map(WireEnums::toWire).toList());
            encoded.setRunningMillis(crash.runningMillis());
            return CommandMessage.reportCrash(encoded);
        }
        return promptPartMessage(command);
    }

    private static CommandMessage promptPartMessage(ControlCommand command) {
        if (command instanceof ReportPartAnswers report) {
            List<PartAnswer> answers = report.answers().stream()
                    .map(answer -> new PartAnswer(WireEnums.toWire(answer.part()), answer.ageMillis()))
                    .toList();
            return CommandMessage.reportPartAnswers(new ReportPartAnswersCommand(answers, report.nowMillis()));
        }
        if (command instanceof RequestPartTrial trial) {
            return CommandMessage.requestPartTrial(
                    new RequestPartTrialCommand(WireEnums.toWire(trial.part()), trial.nowMillis()));
        }
        if (command instanceof ReleasePart release) {
            return CommandMessage.releasePart(new ReleasePartCommand(WireEnums.toWire(release.part())));
        }
        return SuspectCommandCodec.message(command)
                .or(() -> StreamCommandCodec.message(command))
                .orElseThrow(() -> new BasilrillException(ErrorCode.INTERNAL, "no encoding for " + command.getClass()));
    }

    private static ClaimOrder claim(ClaimOrderCommand claim) {
        return new ClaimOrder(
                new AccountId(claim.getAccount()),
                claim.getIdempotencyKey(),
                claim.getFingerprint(),
                claim.getAttempt(),
                new InstanceId(claim.getInstance()),
                claim.getSessionId(),
                claim.getNowMillis());
    }

    private static FinishOrder finish(FinishOrderCommand finish) {
        return new FinishOrder(
                new AccountId(finish.getAccount()),
                finish.getIdempotencyKey(),
                finish.getAttempt(),
                WireEnums.fromWire(finish.getOutcome()),
                WireEnums.fromWire(finish.getAnswer()));
    }

    private static AssignBucket assign(AssignBucketCommand assign) {
        return new AssignBucket(
                new AccountId(assign.getAccount()),
                new InstanceId(assign.getOwner()),
                assign.getSessionId(),
                assign.getExpectedEpoch(),
                assign.getHandedOverTokens());
    }

    private static IntendOrder intend(IntendOrderCommand intend) {
        return new IntendOrder(
                new TargetId(intend.getTarget()),
                intend.getTargetIncarnation(),
                intend.getOrderId(),
                WireEnums.fromWire(intend.getKind()),
                new ModelId(intend.getModel()),
                intend.getVersion(),
                intend.getBytes());
    }

    private static ObserveTarget observe(ObserveTargetCommand observe) {
        Map<ModelId, LoadedModel> contents = new HashMap<>();
        for (LoadedModelReport report : observe.getContents()) {
            contents.put(
                    new ModelId(report.getModel()),
                    new LoadedModel(report.getVersion(), report.getMemoryBytes(), report.isReady()));
        }
        return new ObserveTarget(
                new TargetId(observe.getTarget()),
                observe.getIncarnation(),
                observe.getMemoryBytes(),
                contents,
                observe.isEnforcesFencing());
    }

    private static ReportCrash crash(ReportCrashCommand crash) {
        return new ReportCrash(
                crash.getFingerprint(),
                new TargetId(crash.getTarget()),
                crash.getTargetIncarnation(),
                crash.getNowMillis(),
                Optional.ofNullable(crash.getPromptParts()).orElse(List.of()).stream()
                        .map(WireEnums::fromWire)
                        .toList(),
                crash.getRunningMillis());
    }

    private static ReportPartAnswers answers(ReportPartAnswersCommand report) {
        List<ControlCommand.PartAnswer> answers = report.getAnswers().stream()
                .map(answer ->
                        new ControlCommand.PartAnswer(WireEnums.fromWire(answer.getPart()), answer.getAgeMillis()))
                .toList();
        return new ReportPartAnswers(answers, report.getNowMillis());
    }
}
