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
import org.basilrill.state.control.CommandCodec;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ResultCodec;
import org.basilrill.thrift.control.AnswerStatus;
import org.basilrill.thrift.control.ControlMessage;
import org.basilrill.thrift.control.SubmitAnswer;
import org.basilrill.thrift.control.SubmitRequest;

/**
 * Submits commands to the leader of the control log. Follows redirects at once and repeats a command at another replica
 * until the log answers or the deadline passes. Thread safe; sends and completes futures outside its lock.
 */
final class CommandSubmitter {
    /** Time to wait for one replica; a commit within a region takes a few milliseconds. */
    static final Duration ATTEMPT_TIMEOUT = Duration.ofMillis(300);

    /** Pause after a replica knew no leader; an election takes 250 to 500 ms. */
    static final Duration PAUSE = Duration.ofMillis(50);

    /** Redirects followed without a pause, because replicas may name each other while a leader is elected. */
    private static final int MAXIMUM_PROMPT_REDIRECTS = 3;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ControlEndpoint endpoint;
    private final ReplicaDirectory directory;
    private final Scheduler scheduler;
    private final Map<Long, Call> calls = new HashMap<>();
    private long nextRequestId;

    CommandSubmitter(
            ControlEndpoint endpoint, ReplicaDirectory directory, Scheduler scheduler, RandomGenerator random) {
        this.endpoint = endpoint;
        this.directory = directory;
        this.scheduler = scheduler;
        // A random origin keeps answers to an earlier process of this instance from matching.
        this.nextRequestId = random.nextLong();
    }

    CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline) {
        Call call = new Call(CommandCodec.encode(command), command.getClass().getSimpleName());
        long requestId;
        synchronized (this) {
            requestId = nextRequestId++;
            calls.put(requestId, call);
        }
        Scheduler.Cancellable expiry = scheduler.schedule(deadline, () -> expire(requestId));
        call.result.whenComplete((result, failure) -> expiry.cancel());
        attempt(requestId, directory.leaderOrAny());
        return call.result;
    }

    void answered(InstanceId sender, SubmitAnswer answer) {
        Optional<InstanceId> leader = Optional.ofNullable(answer.getLeader()).map(InstanceId::new);
        if (answer.getStatus() == AnswerStatus.DONE) {
            directory.learnLeader(sender);
            ControlResult result = ResultCodec.decode(answer.getResult());
            remove(answer.getRequestId()).ifPresent(call -> call.result.complete(result));
            return;
        }
        directory.doubtLeader(sender);
        leader.filter(replica -> !replica.equals(sender)).ifPresent(directory::learnLeader);
        retry(sender, answer.getRequestId(), leader.filter(replica -> !replica.equals(sender)));
    }

    /** Follows the redirect, or asks another replica after a pause. Ignores answers to earlier attempts. */
    private void retry(InstanceId sender, long requestId, Optional<InstanceId> leader) {
        boolean redirect;
        synchronized (this) {
            Call call = calls.get(requestId);
            if (call == null || !sender.equals(call.recipient)) {
                return;
            }
            call.timer.cancel();
            redirect = leader.isPresent() && call.promptRedirects < MAXIMUM_PROMPT_REDIRECTS;
            call.promptRedirects = redirect ? call.promptRedirects + 1 : 0;
            call.recipient = null;
        }
        InstanceId next = leader.orElseGet(() -> directory.after(sender));
        if (redirect) {
            attempt(requestId, next);
        } else {
            scheduler.schedule(PAUSE, () -> attempt(requestId, next));
        }
    }

    private void attempt(long requestId, InstanceId recipient) {
        byte[] command;
        synchronized (this) {
            Call call = calls.get(requestId);
            if (call == null) {
                return;
            }
            call.recipient = recipient;
            call.timer = scheduler.schedule(ATTEMPT_TIMEOUT, () -> attemptTimedOut(requestId, recipient));
            command = call.command;
        }
        SubmitRequest request = new SubmitRequest(requestId, java.nio.ByteBuffer.wrap(command));
        endpoint.send(recipient, ControlMessage.submitRequest(request));
    }

    private void attemptTimedOut(long requestId, InstanceId recipient) {
        synchronized (this) {
            Call call = calls.get(requestId);
            if (call == null || !recipient.equals(call.recipient)) {
                return;
            }
        }
        directory.doubtLeader(recipient);
        attempt(requestId, directory.after(recipient));
    }

    private void expire(long requestId) {
        remove(requestId).ifPresent(call -> {
            LOGGER.atWarning().log("%s: %s", LogEvent.COMMAND_DEADLINE_PASSED, call.description);
            call.result.completeExceptionally(new BasilrillException(
                            ErrorCode.CONTROL_UNAVAILABLE,
                            call.description + " was not answered by the control log within its deadline")
                    .withOutcome(Outcome.MAY_HAVE_RUN));
        });
    }

    private synchronized Optional<Call> remove(long requestId) {
        Optional<Call> call = Optional.ofNullable(calls.remove(requestId));
        call.ifPresent(removed -> removed.timer.cancel());
        return call;
    }

    /** One command on its way; guarded by the submitter's lock. */
    private static final class Call {
        private final byte[] command;
        private final String description;
        private final CompletableFuture<ControlResult> result = new CompletableFuture<>();
        private InstanceId recipient;
        private Scheduler.Cancellable timer = () -> {};
        private int promptRedirects;

        private Call(byte[] command, String description) {
            this.command = command;
            this.description = description;
        }
    }
}
