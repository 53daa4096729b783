package org.basilrill.coordination.crash;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.Scheduler;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand.PartAnswer;
import org.basilrill.state.control.ControlCommand.ReportPartAnswers;
import org.basilrill.state.control.ControlCommand.RequestPartTrial;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.SuspectPart;

/**
 * Knows at one instance which prompt parts are blocked because they crash targets, and reports to the control log which
 * suspect parts got a response. The control log decides; every instance applies its view. A part that a crash report
 * of this instance found to be blocked is refused before the view with it arrives. Thread safe.
 */
public final class PromptPartGuard {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Longer than the interval between two pulls of the view, which has the part by then unless it was released. */
    private static final Duration REPORTED_BLOCK_VALIDITY = Duration.ofSeconds(2);

    /** Responses that begin within this time are reported in one command. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(20);

    /** The time given to a command; nobody waits for it. */
    private static final Duration COMMAND_DEADLINE = Duration.ofSeconds(5);

    private final ControlClient control;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final PartAnswers answers;
    private final PartTrials trials;
    private final Map<PromptPartId, Long> reportedBlockNanos = new HashMap<>();
    /** The suspects of the last view whose answers were not reported since, so that one view causes one report. */
    private final Set<PromptPartId> unreportedSuspects = new HashSet<>();

    private Set<PromptPartId> blocked = Set.of();
    private boolean reportScheduled;

    public PromptPartGuard(ControlClient control, MonotonicClock clock, Scheduler scheduler) {
        this.control = control;
        this.clock = clock;
        this.scheduler = scheduler;
        answers = new PartAnswers(clock);
        trials = new PartTrials(clock);
        control.onView(this::viewChanged);
    }

    /** Returns the first of the parts that is blocked. */
    public synchronized Optional<PromptPartId> blockedAmong(List<PromptPartId> parts) {
        return parts.stream().filter(this::isBlocked).findFirst();
    }

    /** Returns the number of blocked parts in the last view. */
    public synchronized int blockedParts() {
        return blocked.size();
    }

    /**
     * Decides whether a request with blocked parts is sent as a trial. Requests a trial from the control log if one is
     * due; a later request uses it.
     */
    public boolean tryAsTrial(List<PromptPartId> parts) {
        List<PromptPartId> due;
        synchronized (this) {
            List<PromptPartId> refused = parts.stream().filter(this::isBlocked).toList();
            if (refused.size() == 1 && trials.use(refused.get(0))) {
                LOGGER.atInfo().log("%s: %s", LogEvent.PROMPT_PART_TRIED, refused.get(0));
                return true;
            }
            due = refused.stream().filter(trials::requestDue).toList();
        }
        due.forEach(this::requestTrial);
        return false;
    }

    /** Records that a response to a request with these parts has begun. */
    public void responseStarted(List<PromptPartId> parts) {
        if (parts.isEmpty()) {
            return;
        }
        synchronized (this) {
            answers.add(parts);
            if (reportScheduled || parts.stream().noneMatch(unreportedSuspects::contains)) {
                return;
            }
            reportScheduled = true;
        }
        scheduler.schedule(REPORT_DELAY, this::reportAnswers);
    }

    /** Adopts the result of a crash report of this instance. */
    public synchronized void crashReported(ControlResult.CrashCount count) {
        long now = clock.nanos();
        reportedBlockNanos.values().removeIf(nanos -> now - nanos > REPORTED_BLOCK_VALIDITY.toNanos());
        count.blockedParts().forEach(part -> reportedBlockNanos.put(part, now));
    }

    private boolean isBlocked(PromptPartId part) {
        Long reported = reportedBlockNanos.get(part);
        return blocked.contains(part)
                || reported != null && clock.nanos() - reported <= REPORTED_BLOCK_VALIDITY.toNanos();
    }

    private void viewChanged(ControlView view) {
        synchronized (this) {
            if (view.suspectParts().isEmpty() && unreportedSuspects.isEmpty() && blocked.isEmpty()) {
                return;
            }
            Set<SuspectPart> blockedNow =
                    view.suspectParts().stream().filter(SuspectPart::blocked).collect(Collectors.toUnmodifiableSet());
            unreportedSuspects.clear();
            view.suspectParts().forEach(suspect -> unreportedSuspects.add(suspect.part()));
            adoptBlocked(blockedNow.stream().map(SuspectPart::part).collect(Collectors.toUnmodifiableSet()));
            trials.update(blockedNow);
        }
        reportAnswers();
    }

    private void adoptBlocked(Set<PromptPartId> next) {
        Set<PromptPartId> added = new HashSet<>(next);
        added.removeAll(blocked);
        Set<PromptPartId> removed = new HashSet<>(blocked);
        removed.removeAll(next);
        added.forEach(part -> LOGGER.atWarning().log("%s: %s", LogEvent.PROMPT_PART_BLOCKED, part));
        removed.forEach(part -> {
            reportedBlockNanos.remove(part);
            LOGGER.atInfo().log("%s: %s", LogEvent.PROMPT_PART_RELEASED, part);
        });
        blocked = next;
    }

    private void reportAnswers() {
        List<PartAnswer> unreported;
        synchronized (this) {
            reportScheduled = false;
            unreported = answers.takeUnreported(unreportedSuspects);
            unreported.forEach(answer -> unreportedSuspects.remove(answer.part()));
        }
        if (!unreported.isEmpty()) {
            control.submit(new ReportPartAnswers(unreported, 0), COMMAND_DEADLINE);
        }
    }

    private void requestTrial(PromptPartId part) {
        control.submit(new RequestPartTrial(part, 0), COMMAND_DEADLINE).whenComplete((result, problem) -> {
            if (result instanceof ControlResult.Done) {
                synchronized (this) {
                    trials.granted(part);
                }
            }
        });
    }
}
