package org.basilrill.coordination.control;

import com.google.common.flogger.FluentLogger;
import java.nio.ByteBuffer;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletionException;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.control.LeaderConfirmation.Confirmed;
import org.basilrill.coordination.control.PullBatcher.Waiting;
import org.basilrill.coordination.control.SeenSessions.Session;
import org.basilrill.state.control.CommandCodec;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlCommand.ClaimOrder;
import org.basilrill.state.control.ControlCommand.ExpireSession;
import org.basilrill.state.control.ControlCommand.RegisterSession;
import org.basilrill.state.control.ControlCommand.ReportCrash;
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
 * Answers the clients of the control log on one replica. The leader proposes commands, confirms pulls by quorum and
 * expires sessions that it has not seen; a follower redirects commands and has its pulls confirmed by the leader.
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
    private final SeenSessions seen = new SeenSessions();
    private final LeaderConfirmation confirmation;
    private final PullBatcher pulls;
    private volatile boolean stopped;

    /**
     * Creates a server; it answers from now on and expires sessions after {@link #start}.
     *
     * @param machine the machine that the replica's log drives
     * @param replicas current members of the log, told to clients
     * @param wallClockMillis time stamped into commands that carry one; used for retention only
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
        this.endpoint = endpoint;
        this.log = log;
        this.machine = machine;
        this.replicas = replicas;
        this.clock = clock;
        this.scheduler = scheduler;
        this.wallClockMillis = wallClockMillis;
        this.confirmation = new LeaderConfirmation(log, machine, seen, clock);
        this.pulls = new PullBatcher(endpoint, log, confirmation, machine, clock, scheduler, random, this::answer);
        endpoint.attachServer(this::handle);
    }

    /** Starts to expire silent sessions whenever this replica leads. Called once. */
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
                pulls.add(sender, message.getPullRequest());
                break;
            case CONFIRM_REQUEST:
                confirm(sender, message.getConfirmRequest());
                break;
            case CONFIRM_ANSWER:
                pulls.answered(message.getConfirmAnswer());
                break;
            default:
                throw new BasilrillException(ErrorCode.MESSAGE_MALFORMED, "the message is not for a replica");
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
            command = stamped(request.getCommand());
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
                replaced.ifPresent(seen::withdraw);
            }
            send(sender, failure(request.getRequestId(), status));
        });
    }

    /** Returns the session that a registration ends; refuses the registration while that session may be in use. */
    private Optional<Session> replacedBy(byte[] encoded) {
        return CommandCodec.decode(encoded) instanceof RegisterSession register
                ? seen.replace(
                        log.term(),
                        clock.nanos(),
                        new Session(register.instance(), register.sessionId()),
                        () -> machine.view().sessions())
                : Optional.empty();
    }

    /** Sets the time of commands that carry one, so that all times come from leaders. */
    private byte[] stamped(byte[] encoded) {
        ControlCommand command = CommandCodec.decode(encoded);
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
                    crash.fingerprint(), crash.target(), crash.targetIncarnation(), wallClockMillis.getAsLong()));
        }
        return encoded;
    }

    private void confirm(InstanceId sender, ConfirmRequest request) {
        List<Session> sessions =
                request.getSessions().stream().map(PullBatcher::session).toList();
        confirmation
                .confirm(sessions)
                .handle((confirmed, failure) -> failure == null
                        ? confirmAnswer(request.getBatchId(), confirmed)
                        : new ConfirmAnswer(request.getBatchId(), status(failure), 0, List.of()))
                .thenAccept(answer -> endpoint.send(sender, ControlMessage.confirmAnswer(answer)));
    }

    private static ConfirmAnswer confirmAnswer(long batchId, Confirmed confirmed) {
        return new ConfirmAnswer(
                batchId,
                AnswerStatus.DONE,
                confirmed.viewIndex(),
                confirmed.held().stream().map(PullBatcher::state).toList());
    }

    private void answer(Waiting pull, boolean sessionHeld) {
        PullAnswer answer = new PullAnswer(
                pull.request().getRequestId(),
                sessionHeld,
                replicas.get().stream().map(InstanceId::value).toList());
        if (machine.view().index() > pull.request().getViewIndex()) {
            answer.setView(machine.viewMessage(pull.request().getRulesRevision()));
        }
        log.leader().map(InstanceId::value).ifPresent(answer::setLeader);
        endpoint.send(pull.sender(), ControlMessage.pullAnswer(answer));
    }

    private void expireAndRepeat() {
        if (stopped) {
            return;
        }
        if (log.isLeader()) {
            seen.takeExpired(log.term(), clock.nanos(), () -> machine.view().sessions())
                    .forEach(this::expire);
        }
        scheduler.schedule(EXPIRY_INTERVAL, this::expireAndRepeat);
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
                        seen.withdraw(session);
                    }
                });
    }

    private void send(InstanceId recipient, SubmitAnswer answer) {
        endpoint.send(recipient, ControlMessage.submitAnswer(answer));
    }

    private static SubmitAnswer success(long requestId, byte[] result) {
        return new SubmitAnswer(requestId, AnswerStatus.DONE).setResult(ByteBuffer.wrap(result));
    }

    private SubmitAnswer failure(long requestId, AnswerStatus status) {
        SubmitAnswer answer = new SubmitAnswer(requestId, status);
        log.leader().map(InstanceId::value).ifPresent(answer::setLeader);
        return answer;
    }

    private static AnswerStatus status(Throwable failure) {
        Throwable cause = failure instanceof CompletionException ? failure.getCause() : failure;
        boolean notLeader = cause instanceof BasilrillException typed && typed.code() == ErrorCode.NOT_LEADER;
        return notLeader ? AnswerStatus.NOT_LEADER : AnswerStatus.UNAVAILABLE;
    }
}
