package org.basilrill.coordination.crash;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
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
    /** Parts because of which the control log refused a request of this instance, and when. */
    private final Map<Set<PromptPartId>, Long> reportedBlockNanos = new HashMap<>();
    /** The suspects of the last view whose answers were not reported since, so that one view causes one report. */
    private final Set<PromptPartId> unreportedSuspects = new HashSet<>();

    /** Blocked parts of the last view; requests that contain a whole group are refused. */
    private List<Set<PromptPartId>> blockedGroups = List.of();

    private boolean reportScheduled;

    public PromptPartGuard(ControlClient control, MonotonicClock clock, Scheduler scheduler) {
        this.control = control;
        this.clock = clock;
        this.scheduler = scheduler;
        answers = new PartAnswers(clock);
        trials = new PartTrials(clock);
        control.onView(this::viewChanged);
    }

    /** Returns a part because of which a request with these parts is refused. */
    public synchronized Optional<PromptPartId> blockedAmong(List<PromptPartId> parts) {
        return blockedGroups(parts).map(group -> group.iterator().next()).findFirst();
    }

    /** Returns the number of blocked parts in the last view. */
    public synchronized int blockedParts() {
        return blockedGroups.stream().mapToInt(Set::size).sum();
    }

    /**
     * Decides whether a request with blocked parts is sent as a trial. Requests a trial from the control log if one is
     * due; a later request uses it.
     */
    public boolean tryAsTrial(List<PromptPartId> parts) {
        List<PromptPartId> due;
        synchronized (this) {
            List<Set<PromptPartId>> refusing = blockedGroups(parts).toList();
            if (refusing.size() == 1 && refusing.get(0).stream().anyMatch(trials::use)) {
                LOGGER.atInfo().log("%s: %s", LogEvent.PROMPT_PART_TRIED, refusing.get(0));
                return true;
            }
            due = refusing.stream()
                    .flatMap(Set::stream)
                    .filter(trials::requestDue)
                    .toList();
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
        if (!count.blockedParts().isEmpty()) {
            reportedBlockNanos.put(Set.copyOf(count.blockedParts()), now);
        }
    }

    /** Returns the groups of blocked parts that a request with these parts contains. */
    private Stream<Set<PromptPartId>> blockedGroups(List<PromptPartId> parts) {
        long now = clock.nanos();
        Stream<Set<PromptPartId>> reported = reportedBlockNanos.entrySet().stream()
                .filter(entry -> now - entry.getValue() <= REPORTED_BLOCK_VALIDITY.toNanos())
                .map(Map.Entry::getKey);
        return Stream.concat(blockedGroups.stream(), reported).filter(parts::containsAll);
    }

    private void viewChanged(ControlView view) {
        synchronized (this) {
            if (view.suspectParts().isEmpty() && unreportedSuspects.isEmpty() && blockedGroups.isEmpty()) {
                return;
            }
            Set<SuspectPart> blockedNow =
                    view.suspectParts().stream().filter(SuspectPart::blocked).collect(Collectors.toUnmodifiableSet());
            unreportedSuspects.clear();
            view.suspectParts().forEach(suspect -> unreportedSuspects.add(suspect.part()));
            adoptBlocked(blockedNow);
            trials.update(blockedNow);
        }
        reportAnswers();
    }

    private void adoptBlocked(Set<SuspectPart> blockedNow) {
        Collection<Set<PromptPartId>> next = blockedNow.stream()
                .collect(Collectors.groupingBy(
                        SuspectPart::group, Collectors.mapping(SuspectPart::part, Collectors.toUnmodifiableSet())))
                .values();
        next.stream()
                .filter(group -> !blockedGroups.contains(group))
                .forEach(group -> LOGGER.atWarning().log("%s: %s", LogEvent.PROMPT_PART_BLOCKED, group));
        blockedGroups.stream().filter(group -> !next.contains(group)).forEach(group -> {
            reportedBlockNanos.remove(group);
            LOGGER.atInfo().log("%s: %s", LogEvent.PROMPT_PART_RELEASED, group);
        });
        blockedGroups = List.copyOf(next);
    }

    private void reportAnswers() {
        List<PartAnswer> unreported;
        synchronized (this) {
            reportScheduled = false;
            unreported = answers.takeUnreported(unreportedSuspects);
            unreported.forEach(answer -> unreportedSuspects.remove(answer.part()));
        }
        if (!unreported.isEmpty()) {
            control.submit(new ReportPartAnswers(unreported, 0), COMMAND_DEADLINE)
                    .whenComplete((result, problem) -> {
                        if (problem != null) {
                            LOGGER.atWarning().log("%s: %d responses", LogEvent.CRASH_REPORT_FAILED, unreported.size());
                        }
                    });
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
