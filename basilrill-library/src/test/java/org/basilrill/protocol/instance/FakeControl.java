package org.basilrill.protocol.instance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.Outcome;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.CommandCodec;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlStateMachine;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.RecordedResponse;
import org.basilrill.state.control.ResultCodec;

/** An in-memory control log that supports order claims and crash reports. Thread safe. */
public final class FakeControl implements ControlClient {
    private final Map<String, Claim> claims = new HashMap<>();
    private final List<ControlCommand> commands = new ArrayList<>();
    private final List<Consumer<ControlView>> listeners = new CopyOnWriteArrayList<>();
    private volatile ControlView view = ControlView.empty();
    private final ControlStateMachine machine = new ControlStateMachine();
    private long machineIndex;
    private long timeMillis = 1_000_000;
    private volatile boolean current = true;
    private volatile Duration confirmationAge = Duration.ZERO;
    private volatile Optional<Rules> nextRules = Optional.empty();
    private volatile Optional<Class<? extends ControlCommand>> refusedKind = Optional.empty();
    private volatile Consumer<Submission> delivery = Submission::applyAndRespond;

    /** Sets the function that delivers commands and their results; the fuzz test delays and loses them. */
    public void setDelivery(Consumer<Submission> newDelivery) {
        delivery = newDelivery;
    }

    /** Refuses such commands, as the log does while replicas of an earlier build may run. */
    void refuse(Class<? extends ControlCommand> kind) {
        refusedKind = Optional.of(kind);
    }

    /** A submitted command that the control log has not applied yet. */
    public final class Submission {
        private final ControlCommand command;
        private final CompletableFuture<ControlResult> result = new CompletableFuture<>();

        Submission(ControlCommand command) {
            this.command = command;
        }

        public void applyAndRespond() {
            result.complete(apply(command));
        }

        public void applyAndLoseResult() {
            apply(command);
            lose();
        }

        public void lose() {
            result.completeExceptionally(new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "lost by the test"));
        }
    }

    /** Installs rules and notifies the listeners. */
    public void install(Rules rules) {
        view = new ControlView(
                view.index() + 1,
                rules,
                Map.of(),
                view.blockedFingerprints(),
                Map.of(),
                view.suspects(),
                view.serviceVersions());
        listeners.forEach(listener -> listener.accept(view));
    }

    /** Blocks a fingerprint as replicas of an earlier build do after two lost targets. */
    public void block(String fingerprint) {
        view = new ControlView(view.index() + 1, view.rules(), Map.of(), Set.of(fingerprint), Map.of());
        listeners.forEach(listener -> listener.accept(view));
    }

    /** Advances the time of the control log. */
    synchronized void advanceTime(Duration duration) {
        timeMillis += duration.toMillis();
    }

    public void setCurrent(boolean isCurrent) {
        current = isCurrent;
    }

    /** Sets rules that are installed just before the age of the confirmation is next read. */
    void installBeforeNextConfirmation(Rules rules) {
        nextRules = Optional.of(rules);
    }

    /** Sets the age of the last confirmation of the view. */
    public void setConfirmationAge(Duration age) {
        confirmationAge = age;
    }

    /** Returns all commands that were applied. */
    public synchronized List<ControlCommand> commands() {
        return List.copyOf(commands);
    }

    /** Returns the outcome recorded for an idempotency key, if any. */
    public synchronized Optional<Outcome> outcomeOf(String idempotencyKey) {
        return Optional.ofNullable(claims.get(idempotencyKey)).map(claim -> claim.outcome);
    }

    @Override
    public CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline) {
        Submission submission = new Submission(command);
        delivery.accept(submission);
        return submission.result;
    }

    @Override
    public ControlView view() {
        return view;
    }

    @Override
    public boolean isCurrent() {
        return current;
    }

    @Override
    public Optional<Duration> confirmationAge() {
        Optional<Rules> installed = nextRules;
        nextRules = Optional.empty();
        installed.ifPresent(this::install);
        return Optional.of(confirmationAge);
    }

    @Override
    public long sessionId() {
        return 7;
    }

    @Override
    public boolean holdsSession() {
        return true;
    }

    @Override
    public void onView(Consumer<ControlView> listener) {
        listeners.add(listener);
    }

    private synchronized ControlResult apply(ControlCommand command) {
        if (refusedKind.filter(kind -> kind.isInstance(command)).isPresent()) {
            return new ControlResult.Refused(ErrorCode.CONTROL_UNAVAILABLE, "not understood by all replicas");
        }
        commands.add(command);
        if (command instanceof ControlCommand.ClaimOrder order) {
            return claim(order);
        }
        if (command instanceof ControlCommand.FinishOrder order) {
            return finish(order);
        }
        if (command instanceof ControlCommand.ReplaceRules replace) {
            return replace.expectedRevision() == view.rules().revision()
                    ? new ControlResult.RulesAccepted(replace.expectedRevision() + 1)
                    : new ControlResult.RulesConflict(view.rules().revision(), "luis");
        }
        return applyToMachine(withTime(command));
    }

    /** Sets the time of commands that concern suspects, as the leader does. */
    private ControlCommand withTime(ControlCommand command) {
        if (command instanceof ControlCommand.ReportCrash crash) {
            return new ControlCommand.ReportCrash(
                    crash.fingerprint(),
                    crash.target(),
                    crash.targetIncarnation(),
                    timeMillis,
                    crash.promptParts(),
                    crash.runningMillis());
        }
        if (command instanceof ControlCommand.ReportCrashEvidence evidence) {
            return new ControlCommand.ReportCrashEvidence(evidence.lost(), evidence.answers(), timeMillis);
        }
        if (command instanceof ControlCommand.RequestTrial trial) {
            return new ControlCommand.RequestTrial(trial.suspect(), timeMillis);
        }
        return command instanceof ControlCommand.ReportPartAnswers report
                ? new ControlCommand.ReportPartAnswers(report.answers(), timeMillis)
                : command;
    }

    /** Applies a command that concerns suspects or streams as the control log does, and installs the new view. */
    private ControlResult applyToMachine(ControlCommand command) {
        ControlResult result = ResultCodec.decode(machine.apply(++machineIndex, CommandCodec.encode(command)));
        ControlView state = machine.view();
        if (!state.serviceVersions().equals(view.serviceVersions())
                || !state.suspects().equals(view.suspects())) {
            view = new ControlView(
                    view.index() + 1,
                    view.rules(),
                    Map.of(),
                    view.blockedFingerprints(),
                    Map.of(),
                    state.suspects(),
                    state.serviceVersions());
            listeners.forEach(listener -> listener.accept(view));
        }
        return result;
    }

    private ControlResult claim(ControlCommand.ClaimOrder order) {
        Claim claim = claims.get(order.idempotencyKey());
        if (claim == null || claim.outcome == Outcome.NOT_RUN) {
            claims.put(order.idempotencyKey(), new Claim(order));
            return new ControlResult.OrderGranted();
        }
        if (!claim.order.fingerprint().equals(order.fingerprint())) {
            return new ControlResult.Refused(ErrorCode.ORDER_MISMATCH, "the key was used for another order");
        }
        if (claim.outcome == null) {
            return new ControlResult.OrderRunning(new InstanceId("elsewhere"));
        }
        return new ControlResult.OrderFinished(claim.outcome, claim.response);
    }

    private ControlResult finish(ControlCommand.FinishOrder order) {
        Claim claim = claims.get(order.idempotencyKey());
        if (claim == null || !claim.order.attempt().equals(order.attempt())) {
            return new ControlResult.Refused(ErrorCode.INTERNAL, "another attempt holds the claim");
        }
        claim.outcome = order.outcome();
        claim.response = order.response();
        return new ControlResult.Done();
    }

    /** One claim and its outcome. */
    private static final class Claim {
        private final ControlCommand.ClaimOrder order;
        private Outcome outcome;
        private Optional<RecordedResponse> response = Optional.empty();

        Claim(ControlCommand.ClaimOrder order) {
            this.order = order;
        }
    }
}
