package org.basilrill.coordination.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.state.configuration.RulesFormat;
import org.basilrill.state.configuration.RulesSource;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;
import org.basilrill.thrift.control.ControlMessage;

/**
 * Client of the control log for one instance, whether or not the instance is a replica itself. Maintains a session from
 * {@link #start} on. Thread safe; never blocks and starts no thread.
 */
public final class ControlLogClient implements ControlClient {
    private static final Duration REGISTRATION_DEADLINE = Duration.ofSeconds(2);

    /** Limits how long a stop waits during an election; after it, the session ends by its timeout. */
    private static final Duration RELEASE_DEADLINE = Duration.ofSeconds(1);

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final ControlEndpoint endpoint;
    private final ReplicaDirectory directory;
    private final Scheduler scheduler;
    private final RandomGenerator random;
    private final ViewHolder viewHolder = new ViewHolder();
    private final CommandSubmitter submitter;
    private final ViewPuller puller;
    private final AcknowledgementDelay acknowledgementDelay;
    /** Set when a session is opened, and cleared when another process is found to use the name of this instance. */
    private volatile boolean registered;

    private volatile boolean stopped;

    /**
     * Creates a client that is inactive before {@link #start}.
     *
     * @param replicas replicas named in the settings, at least one; pull responses may name others later
     * @param format format of the rules
     * @param wallClockMillis compared with the monotonic clock, which does not count a suspension of the machine
     * @param inForceWithin time from its acknowledgement in which an operator's change has to be in force everywhere
     */
    public ControlLogClient(
            ControlEndpoint endpoint,
            List<InstanceId> replicas,
            RulesFormat format,
            MonotonicClock clock,
            LongSupplier wallClockMillis,
            Scheduler scheduler,
            RandomGenerator random,
            Duration inForceWithin) {
        this.endpoint = endpoint;
        this.acknowledgementDelay = new AcknowledgementDelay(inForceWithin, scheduler);
        this.scheduler = scheduler;
        this.random = random;
        directory = new ReplicaDirectory(replicas, random);
        this.submitter = new CommandSubmitter(endpoint, directory, scheduler, random);
        this.puller = new ViewPuller(
                endpoint,
                directory,
                viewHolder,
                format,
                new ConfirmationClock(clock, wallClockMillis),
                scheduler,
                random);
        endpoint.attachClient(this::handle);
    }

    /**
     * Replaces the instances that advertise a replica, so that a replica is found even if no replica of the settings
     * exists any more.
     */
    public void updateAdvertisedReplicas(List<InstanceId> instances) {
        directory.updateAdvertisedReplicas(instances);
    }

    /** Returns the leader of the control log that a replica reported last; empty if none is known. */
    public Optional<InstanceId> leader() {
        return directory.leader();
    }

    /** Starts pulling the view and opens a session. Called once. */
    public void start() {
        puller.start(this::sessionLost);
        register(newSessionId());
    }

    /**
     * Ends the session immediately instead of by its timeout, so that its remaining buckets can be claimed 5 s earlier.
     * Called when no component uses the session any more; no other session is opened.
     *
     * @return completes when the end is committed or the deadline has passed; never fails
     */
    public CompletableFuture<Void> releaseSession() {
        stopped = true;
        long released = puller.closeSession();
        if (released == 0) {
            return CompletableFuture.completedFuture(null);
        }
        return submit(new ControlCommand.ExpireSession(endpoint.self(), released), RELEASE_DEADLINE)
                .handle((result, failure) -> null);
    }

    /** Stops pulling, so that the session ends by its timeout. Pending commands continue until their deadline. */
    public void stop() {
        stopped = true;
        puller.stop();
    }

    /** Submits a command; the result of an operator's change is delayed until it may be acknowledged. */
    @Override
    public CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline) {
        return acknowledgementDelay.apply(command, submitter.submit(command, deadline));
    }

    @Override
    public ControlView view() {
        return viewHolder.view();
    }

    /**
     * Reads the rules from the log. They are at least as new as any rules accepted before this call.
     *
     * @param deadline maximum wait, after which the future fails with {@code CONTROL_UNAVAILABLE}
     */
    public CompletableFuture<RulesSource> readRules(Duration deadline) {
        return puller.confirm(deadline).thenApply(confirmed -> viewHolder.rulesSource());
    }

    @Override
    public boolean isCurrent() {
        return registered && puller.isCurrent();
    }

    @Override
    public Optional<Duration> confirmationAge() {
        return puller.confirmationAge();
    }

    @Override
    public long sessionId() {
        return puller.sessionId();
    }

    @Override
    public boolean holdsSession() {
        return puller.holdsSession();
    }

    @Override
    public void onView(Consumer<ControlView> listener) {
        viewHolder.addViewListener(listener);
    }

    private void handle(InstanceId sender, ControlMessage message) {
        if (message.getSetField() == ControlMessage._Fields.SUBMIT_ANSWER) {
            submitter.responseReceived(sender, message.getSubmitAnswer());
        } else {
            puller.responseReceived(sender, message.getPullAnswer());
        }
    }

    private void sessionLost() {
        LOGGER.atWarning().log("%s", LogEvent.SESSION_LOST);
        register(newSessionId());
    }

    /**
     * Registers a session. Retries with the same id while it is unknown whether an earlier registration took effect.
     */
    private void register(long id) {
        if (stopped) {
            return;
        }
        submit(new ControlCommand.RegisterSession(endpoint.self(), id), REGISTRATION_DEADLINE)
                .whenComplete((result, failure) -> {
                    if (stopped) {
                        return;
                    }
                    if (result instanceof ControlResult.Done) {
                        LOGGER.atInfo().log("%s: %d", LogEvent.SESSION_OPENED, id);
                        registered = true;
                        puller.openSession(id);
                        return;
                    }
                    if (result instanceof ControlResult.Refused refused
                            && refused.code() == ErrorCode.INSTANCE_NAME_IN_USE) {
                        registered = false;
                        LOGGER.atSevere().log("%s: %s", LogEvent.INSTANCE_NAME_IN_USE, endpoint.self());
                    }
                    long next = result == null ? id : newSessionId();
                    scheduler.schedule(ViewPuller.PULL_INTERVAL, () -> register(next));
                });
    }

    /** Returns a positive random number, so that two processes with one instance name do not share a session. */
    private long newSessionId() {
        return random.nextLong(1, Long.MAX_VALUE);
    }
}
