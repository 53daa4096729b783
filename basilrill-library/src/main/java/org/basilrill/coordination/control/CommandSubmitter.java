package org.basilrill.coordination.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.Outcome;
import org.basilrill.api.Scheduler;
import org.basilrill.api.TransferTime;
import org.basilrill.state.control.CommandCodec;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ResultCodec;
import org.basilrill.thrift.control.AnswerStatus;
import org.basilrill.thrift.control.ControlMessage;
import org.basilrill.thrift.control.SubmitAnswer;
import org.basilrill.thrift.control.SubmitRequest;

/**
 * Submits commands to the leader of the control log. Follows redirects immediately and retries a command at another
 * replica until a result arrives or the deadline passes. Thread safe; sends and completes futures outside its lock.
 */
final class CommandSubmitter {
    /** Time to wait for the response to a small command; a commit within a region takes a few milliseconds. */
    static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(300);

    /** Pause after a response that names no leader; an election takes 250 to 500 ms. */
    static final Duration RETRY_PAUSE = Duration.ofMillis(50);

    /**
     * Number of redirects followed without a pause. The limit prevents a loop of replicas that name each other during
     * an election.
     */
    private static final int MAXIMUM_IMMEDIATE_REDIRECTS = 3;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ControlEndpoint endpoint;
    private final ReplicaDirectory directory;
    private final Scheduler scheduler;
    private final Map<Long, PendingCommand> pendingCommands = new HashMap<>();
    private long nextRequestId;

    CommandSubmitter(
            ControlEndpoint endpoint, ReplicaDirectory directory, Scheduler scheduler, RandomGenerator random) {
        this.endpoint = endpoint;
        this.directory = directory;
        this.scheduler = scheduler;
        // Starts at a random id, so that responses to an earlier process of this instance do not match.
        this.nextRequestId = random.nextLong();
    }

    CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline) {
        PendingCommand pendingCommand = new PendingCommand(
                CommandCodec.encode(command), command.getClass().getSimpleName());
        long requestId;
        synchronized (this) {
            requestId = nextRequestId++;
            pendingCommands.put(requestId, pendingCommand);
        }
        Scheduler.Cancellable expiry = scheduler.schedule(deadline, () -> expire(requestId));
        pendingCommand.result.whenComplete((result, failure) -> expiry.cancel());
        attempt(requestId, directory.leaderOrAny());
        return pendingCommand.result;
    }

    void responseReceived(InstanceId sender, SubmitAnswer response) {
        Optional<InstanceId> leader = Optional.ofNullable(response.getLeader()).map(InstanceId::new);
        if (response.getStatus() == AnswerStatus.DONE) {
            directory.recordLeader(sender);
            ControlResult result = ResultCodec.decode(response.getResult());
            remove(response.getRequestId()).ifPresent(pendingCommand -> pendingCommand.result.complete(result));
            return;
        }
        directory.clearLeader(sender);
        leader.filter(replica -> !replica.equals(sender)).ifPresent(directory::recordLeader);
        retry(sender, response.getRequestId(), leader.filter(replica -> !replica.equals(sender)));
    }

    /** Follows the redirect, or tries another replica after a pause. Ignores responses to earlier attempts. */
    private void retry(InstanceId sender, long requestId, Optional<InstanceId> leader) {
        boolean redirect;
        synchronized (this) {
            PendingCommand pendingCommand = pendingCommands.get(requestId);
            if (pendingCommand == null || !sender.equals(pendingCommand.recipient)) {
                return;
            }
            pendingCommand.timer.cancel();
            redirect = leader.isPresent() && pendingCommand.immediateRedirects < MAXIMUM_IMMEDIATE_REDIRECTS;
            pendingCommand.immediateRedirects = redirect ? pendingCommand.immediateRedirects + 1 : 0;
            pendingCommand.recipient = null;
        }
        InstanceId next = leader.orElseGet(() -> directory.nextAfter(sender));
        if (redirect) {
            attempt(requestId, next);
        } else {
            scheduler.schedule(RETRY_PAUSE, () -> attempt(requestId, next));
        }
    }

    private void attempt(long requestId, InstanceId recipient) {
        byte[] command;
        synchronized (this) {
            PendingCommand pendingCommand = pendingCommands.get(requestId);
            if (pendingCommand == null) {
                return;
            }
            pendingCommand.recipient = recipient;
            pendingCommand.timer =
                    scheduler.schedule(pendingCommand.attemptTimeout(), () -> attemptTimedOut(requestId, recipient));
            command = pendingCommand.command;
        }
        SubmitRequest request = new SubmitRequest(requestId, java.nio.ByteBuffer.wrap(command));
        endpoint.send(recipient, ControlMessage.submitRequest(request));
    }

    private void attemptTimedOut(long requestId, InstanceId recipient) {
        synchronized (this) {
            PendingCommand pendingCommand = pendingCommands.get(requestId);
            if (pendingCommand == null || !recipient.equals(pendingCommand.recipient)) {
                return;
            }
        }
        directory.clearLeader(recipient);
        attempt(requestId, directory.nextAfter(recipient));
    }

    private void expire(long requestId) {
        remove(requestId).ifPresent(pendingCommand -> {
            LOGGER.atWarning().log("%s: %s", LogEvent.COMMAND_DEADLINE_PASSED, pendingCommand.description);
            pendingCommand.result.completeExceptionally(new BasilrillException(
                            ErrorCode.CONTROL_UNAVAILABLE,
                            pendingCommand.description + " received no result from the control log within its deadline")
                    .withOutcome(Outcome.MAY_HAVE_RUN));
        });
    }

    private synchronized Optional<PendingCommand> remove(long requestId) {
        Optional<PendingCommand> pendingCommand = Optional.ofNullable(pendingCommands.remove(requestId));
        pendingCommand.ifPresent(removed -> removed.timer.cancel());
        return pendingCommand;
    }

    /** A submitted command without a result; guarded by the submitter's lock. */
    private static final class PendingCommand {
        private final byte[] command;
        private final String description;
        private final CompletableFuture<ControlResult> result = new CompletableFuture<>();
        private InstanceId recipient;
        private Scheduler.Cancellable timer = () -> {};
        private int immediateRedirects;

        private PendingCommand(byte[] command, String description) {
            this.command = command;
            this.description = description;
        }

        /** Returns the timeout with the transfer, as copies would delay the command that is still on its way. */
        private Duration attemptTimeout() {
            return ATTEMPT_TIMEOUT.plus(TransferTime.of(command.length));
        }
    }
}
