package org.basilrill.coordination.control;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import java.util.function.Predicate;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.control.LeaderConfirmation.Confirmed;
import org.basilrill.coordination.control.PullBatcher.PendingPull;
import org.basilrill.coordination.control.SessionTracker.Session;
import org.basilrill.state.control.CommandCodec;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlCommand.ClaimOrder;
import org.basilrill.state.control.ControlCommand.ExpireSession;
import org.basilrill.state.control.ControlCommand.FindStream;
import org.basilrill.state.control.ControlCommand.RecordStreams;
import org.basilrill.state.control.ControlCommand.RegisterSession;
import org.basilrill.state.control.ControlCommand.ReportCrash;
import org.basilrill.state.control.ControlCommand.ReportCrashEvidence;
import org.basilrill.state.control.ControlCommand.ReportPartAnswers;
import org.basilrill.state.control.ControlCommand.RequestPartTrial;
import org.basilrill.state.control.ControlCommand.RequestTrial;
import org.basilrill.state.control.ControlCommand.RetireVersion;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.state.control.ResultCodec;
import org.basilrill.thrift.control.AnswerStatus;
import org.basilrill.thrift.control.ConfirmAnswer;
import org.basilrill.thrift.control.ConfirmRequest;
import org.basilrill.thrift.control.ControlMessage;
import org.basilrill.thrift.control.PullAnswer;
import org.basilrill.thrift.control.SubmitAnswer;
import org.basilrill.thrift.control.SubmitRequest;

/**
 * Serves the clients of the control log on one replica. The leader proposes commands, confirms pulls by quorum and
 * expires sessions without recent pulls. A follower redirects commands and has its pulls confirmed by the leader.
 * Thread safe; never blocks and starts no thread.
 */
public final class ControlLogServer {
    private static final Duration EXPIRY_INTERVAL = Duration.ofMillis(500);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ControlEndpoint endpoint;
    private final ControlLog log;
    private final ControlStateMachine machine;
    private final Supplier<List<InstanceId>> replicas;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final LongSupplier wallClockMillis;
    private final Predicate<ControlCommand> proposable;
    private final SessionTracker sessionTracker = new SessionTracker();
    private final LeaderConfirmation confirmation;
    private final PullBatcher pullBatcher;
    private volatile boolean stopped;

    /**
     * Creates a server. It handles messages immediately and expires sessions after {@link #start}.
     *
     * @param machine the state machine that applies the replica's log
     * @param replicas current members of the log, sent to clients
     * @param wallClockMillis source of the time set in commands that contain one; used for retention only
     */
    public ControlLogServer(
            ControlEndpoint endpoint,
            ControlLog log,
            ControlStateMachine machine,
            Supplier<List<InstanceId>> replicas,
            MonotonicClock clock,
            Scheduler scheduler,
            RandomGenerator random,
            LongSupplier wallClockMillis) {
        this(endpoint, log, machine, replicas, clock, scheduler, random, wallClockMillis, command -> true);
    }

    /**
     * Creates a server that proposes only commands that every replica understands.
     *
     * @param proposable returns whether a command may be proposed now
     */
    public ControlLogServer(
            ControlEndpoint endpoint,
            ControlLog log,
            ControlStateMachine machine,
            Supplier<List<InstanceId>> replicas,
            MonotonicClock clock,
            Scheduler scheduler,
            RandomGenerator random,
            LongSupplier wallClockMillis,
            Predicate<ControlCommand> proposable) {
        this.endpoint = endpoint;
        this.log = log;
        this.machine = machine;
        this.replicas = replicas;
        this.clock = clock;
        this.scheduler = scheduler;
        this.wallClockMillis = wallClockMillis;
        this.proposable = proposable;
        this.confirmation = new LeaderConfirmation(log, machine, sessionTracker, clock);
        this.pullBatcher =
                new PullBatcher(endpoint, log, confirmation, machine, clock, scheduler, random, this::sendPullResponse);
        endpoint.attachServer(this::handle);
    }

    /** Starts expiring sessions without recent pulls whenever this replica leads. Called once. */
    public void start() {
        expireAndRepeat();
    }

    /** Stops expiring sessions. */
    public void stop() {
        stopped = true;
    }

    private void handle(InstanceId sender, ControlMessage message) {
        switch (message.getSetField()) {
            case SUBMIT_REQUEST:
                submit(sender, message.getSubmitRequest());
                break;
            case PULL_REQUEST:
                pullBatcher.add(sender, message.getPullRequest());
                break;
            case CONFIRM_REQUEST:
                confirm(sender, message.getConfirmRequest());
                break;
            case CONFIRM_ANSWER:
                pullBatcher.confirmResponseReceived(message.getConfirmAnswer());
                break;
            default:
                throw new BasilrillException(
                        ErrorCode.MESSAGE_MALFORMED, "the message kind is not handled by a replica");
        }
    }

    private void submit(InstanceId sender, SubmitRequest request) {
        if (!log.isLeader()) {
            send(sender, failure(request.getRequestId(), AnswerStatus.NOT_LEADER));
            return;
        }
        byte[] command;
        Optional<Session> replaced;
        try {
            command = withLeaderTime(request.getCommand());
            replaced = replacedBy(command);
        } catch (BasilrillException exception) {
            ControlResult refused = new ControlResult.Refused(exception.code(), exception.getMessage());
            send(sender, success(request.getRequestId(), ResultCodec.encode(refused)));
            return;
        }
        log.propose(command).whenComplete((result, failure) -> {
            if (failure == null) {
                send(sender, success(request.getRequestId(), result));
                return;
            }
            AnswerStatus status = status(failure);
            if (status == AnswerStatus.NOT_LEADER) {
                replaced.ifPresent(sessionTracker::cancelExpiry);
            }
            send(sender, failure(request.getRequestId(), status));
        });
    }

    /** Returns the session that a registration replaces; rejects the registration while that session may be in use. */
    private Optional<Session> replacedBy(byte[] encoded) {
        return CommandCodec.decode(encoded) instanceof RegisterSession register
                ? sessionTracker.replace(
                        log.term(),
                        clock.nanos(),
                        new Session(register.instance(), register.sessionId()),
                        () -> machine.view().sessions())
                : Optional.empty();
    }

    /**
     * Sets the time of commands that contain one, so that all times come from leaders. Rejects a command that a replica
     * of an earlier release would not understand.
     */
    private byte[] withLeaderTime(byte[] encoded) {
        ControlCommand command = CommandCodec.decode(encoded);
        if (!proposable.test(command)) {
            throw new BasilrillException(
                    ErrorCode.CONTROL_UNAVAILABLE,
                    "not all replicas of the control log are known to understand "
                            + command.getClass().getSimpleName());
        }
        if (command instanceof ClaimOrder claim) {
            return CommandCodec.encode(new ClaimOrder(
                    claim.account(),
                    claim.idempotencyKey(),
                    claim.fingerprint(),
                    claim.attempt(),
                    claim.instance(),
                    claim.sessionId(),
                    wallClockMillis.getAsLong()));
        }
        if (command instanceof ReportCrash crash) {
            return CommandCodec.encode(new ReportCrash(
                    crash.fingerprint(),
                    crash.target(),
                    crash.targetIncarnation(),
                    wallClockMillis.getAsLong(),
                    crash.promptParts(),
                    crash.runningMillis()));
        }
        if (command instanceof ReportPartAnswers answers) {
            return CommandCodec.encode(new ReportPartAnswers(answers.answers(), wallClockMillis.getAsLong()));
        }
        if (command instanceof RequestPartTrial trial) {
            return CommandCodec.encode(new RequestPartTrial(trial.part(), wallClockMillis.getAsLong()));
        }
        if (command instanceof ReportCrashEvidence evidence) {
            return CommandCodec.encode(
                    new ReportCrashEvidence(evidence.lost(), evidence.answers(), wallClockMillis.getAsLong()));
        }
        if (command instanceof RequestTrial trial) {
            return CommandCodec.encode(new RequestTrial(trial.suspect(), wallClockMillis.getAsLong()));
        }
        if (command instanceof RetireVersion retire) {
            return CommandCodec.encode(
                    new RetireVersion(retire.service(), retire.version(), wallClockMillis.getAsLong()));
        }
        if (command instanceof RecordStreams streams) {
            return CommandCodec.encode(new RecordStreams(streams.streams(), wallClockMillis.getAsLong()));
        }
        if (command instanceof FindStream find) {
            return CommandCodec.encode(new FindStream(
                    find.firstRequestId(), find.service(), find.windowMillis(), wallClockMillis.getAsLong()));
        }
        return encoded;
    }

    private void confirm(InstanceId sender, ConfirmRequest request) {
        List<Session> sessions =
                request.getSessions().stream().map(PullBatcher::session).toList();
        confirmation
                .confirm(sessions)
                .handle((confirmed, failure) -> failure == null
                        ? confirmResponse(request.getBatchId(), confirmed)
                        : new ConfirmAnswer(request.getBatchId(), status(failure), 0, List.of()))
                .thenAccept(response -> endpoint.send(sender, ControlMessage.confirmAnswer(response)));
    }

    private static ConfirmAnswer confirmResponse(long batchId, Confirmed confirmed) {
        return new ConfirmAnswer(
                batchId,
                AnswerStatus.DONE,
                confirmed.viewIndex(),
                confirmed.openSessions().stream().map(PullBatcher::state).toList());
    }

    private void sendPullResponse(PendingPull pull, boolean sessionHeld) {
        PullAnswer response = new PullAnswer(
                pull.request().getRequestId(),
                sessionHeld,
                replicas.get().stream().map(InstanceId::value).toList());
        if (machine.view().index() > pull.request().getViewIndex()) {
            response.setView(machine.viewMessage(pull.request().getRulesRevision()));
        }
        log.leader().map(InstanceId::value).ifPresent(response::setLeader);
        endpoint.send(pull.sender(), ControlMessage.pullAnswer(response));
    }

    private void expireAndRepeat() {
        if (stopped) {
            return;
        }
        try {
            expireSessions();
        } finally {
            scheduler.schedule(EXPIRY_INTERVAL, this::expireAndRepeat);
        }
    }

    private void expireSessions() {
        if (log.isLeader()) {
            sessionTracker
                    .takeExpired(log.term(), clock.nanos(), () -> machine.view().sessions())
                    .forEach(this::expire);
        }
    }

    private void expire(Session session) {
        LOGGER.atWarning().log("%s: %s of %s", LogEvent.SESSION_EXPIRED, session.sessionId(), session.instance());
        log.propose(CommandCodec.encode(new ExpireSession(session.instance(), session.sessionId())))
                .whenComplete((result, failure) -> {
                    if (failure == null) {
                        return;
                    }
                    LOGGER.atWarning().withCause(failure).log(
                            "%s: %s of %s", LogEvent.SESSION_EXPIRY_FAILED, session.sessionId(), session.instance());
                    if (status(failure) == AnswerStatus.NOT_LEADER) {
                        sessionTracker.cancelExpiry(session);
                    }
                });
    }

    private void send(InstanceId recipient, SubmitAnswer response) {
        endpoint.send(recipient, ControlMessage.submitAnswer(response));
    }

    private static SubmitAnswer success(long requestId, byte[] result) {
        return new SubmitAnswer(requestId, AnswerStatus.DONE).setResult(ByteBuffer.wrap(result));
    }

    private SubmitAnswer failure(long requestId, AnswerStatus status) {
        SubmitAnswer response = new SubmitAnswer(requestId, status);
        log.leader().map(InstanceId::value).ifPresent(response::setLeader);
        return response;
    }

    private static AnswerStatus status(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notLeader = cause instanceof BasilrillException typed && typed.code() == ErrorCode.NOT_LEADER;
        return notLeader ? AnswerStatus.NOT_LEADER : AnswerStatus.UNAVAILABLE;
    }
}
