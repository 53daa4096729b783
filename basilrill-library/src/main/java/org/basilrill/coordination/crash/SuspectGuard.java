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
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PromptPartId;
import org.basilrill.api.RequestFingerprintId;
import org.basilrill.api.Scheduler;
import org.basilrill.api.SuspectId;
import org.basilrill.api.TargetId;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand.SuspectAnswer;
import org.basilrill.state.control.ControlView;
import org.basilrill.state.control.CrashSuspect;
import org.basilrill.state.target.TargetAnnouncement;
import org.basilrill.state.target.TargetDirectory;

/**
 * Knows at one instance which requests and prompt parts are blocked because they crash targets, and reports to the
 * control log which requests were lost and which suspects got a response. The control log decides; every instance
 * applies its view. A suspect that a report of this instance found to be blocked is refused before the view with it
 * arrives. Thread safe.
 */
public final class SuspectGuard {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Longer than the interval between two pulls of the view, which has the suspect by then unless it was released. */
    private static final Duration REPORTED_BLOCK_VALIDITY = Duration.ofSeconds(2);

    /** Responses that begin within this time are reported in one command. */
    private static final Duration REPORT_DELAY = Duration.ofMillis(20);

    /** The time given to a command that reports responses; nobody waits for it. */
    private static final Duration ANSWER_DEADLINE = Duration.ofSeconds(5);

    /** The time given to the request for a trial, for which a caller waits. */
    private static final Duration TRIAL_DEADLINE = Duration.ofSeconds(1);

    private final SuspectRecords records;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final TargetDirectory targets;
    private final CrashReporter reporter;
    private final SuspectAnswers answers;
    private final SuspectTrials trials;
    private final UnexplainedLosses unexplained;
    /** Suspects because of which the control log refused a request of this instance, and when. */
    private final Map<Set<SuspectId>, Long> reportedBlockNanos = new HashMap<>();
    /** What was reported since the last view changed, so that one view causes one report for each software version. */
    private final Set<AnswerKey> reportedAnswers = new HashSet<>();

    /** Its order, in which responses are reported, is the same in each process, unlike that of unmodifiable sets. */
    private Set<SuspectId> suspectsInView = new HashSet<>();

    /** Blocked suspects of the last view; requests that contain a whole group are refused. */
    private Set<Set<SuspectId>> blockedGroups = Set.of();

    private boolean reportScheduled;

    /**
     * Creates a guard without blocked suspects.
     *
     * @param targets shows which targets are leaving, so that their end is no crash
     */
    public SuspectGuard(ControlClient control, MonotonicClock clock, Scheduler scheduler, TargetDirectory targets) {
        this.clock = clock;
        this.scheduler = scheduler;
        this.targets = targets;
        records = new SuspectRecords(control);
        answers = new SuspectAnswers(clock);
        trials = new SuspectTrials(clock);
        unexplained = new UnexplainedLosses(clock);
        reporter = new CrashReporter(records, clock, scheduler, this::answersOf);
        control.onView(this::viewChanged);
    }

    /**
     * The suspects because of which a request is refused.
     *
     * @param suspect one of them, which names the reason
     * @param untilTrial time until a request with them may be sent as a trial; empty if they are not known for long
     *     enough
     */
    public record Block(SuspectId suspect, Optional<Duration> untilTrial) {
        /** Returns whether a trial may be requested now. */
        public boolean isTrialDue() {
            return untilTrial.filter(Duration::isZero).isPresent();
        }
    }

    /**
     * Returns why a request with these suspects is refused; empty if it is not.
     *
     * @param hasSpareTarget whether a crash would leave the destination another target
     */
    public synchronized Optional<Block> blockOf(List<SuspectId> suspects, BooleanSupplier hasSpareTarget) {
        List<Set<SuspectId>> refusing = refusingGroups(suspects).toList();
        if (refusing.isEmpty()) {
            return Optional.empty();
        }
        SuspectId first = refusing.get(0).iterator().next();
        Optional<Duration> untilTrial = refusing.size() == 1 && trials.isKnown(first)
                ? Optional.of(trials.untilDue(first, hasSpareTarget.getAsBoolean()))
                : Optional.empty();
        return Optional.of(new Block(first, untilTrial));
    }

    /** Returns the number of blocked prompt parts in the last view. */
    public int blockedParts() {
        return countBlocked(PromptPartId.class);
    }

    /** Returns the number of blocked whole requests in the last view. */
    public int blockedRequests() {
        return countBlocked(RequestFingerprintId.class);
    }

    /** Requests permission for one request with a blocked suspect; completes with whether it may be sent. */
    public CompletableFuture<Boolean> requestTrial(SuspectId suspect) {
        synchronized (this) {
            trials.requested(suspect);
        }
        return records.requestTrial(suspect, TRIAL_DEADLINE).handle((granted, problem) -> {
            boolean permitted = problem == null && granted;
            if (permitted) {
                LOGGER.atInfo().log("%s: %s", LogEvent.SUSPECT_TRIED, suspect);
            }
            return permitted;
        });
    }

    /**
     * Records that a request with these suspects got a response.
     *
     * @param sentNanos time at which the request was sent, or for prompt parts the response began; a crash before it is
     *     not held against them
     */
    public void responded(Collection<? extends SuspectId> suspects, long sentNanos, Optional<String> softwareVersion) {
        if (suspects.isEmpty()) {
            return;
        }
        synchronized (this) {
            answers.add(suspects, sentNanos, softwareVersion);
            boolean wanted = suspects.stream()
                    .anyMatch(suspect -> suspectsInView.contains(suspect)
                            && !reportedAnswers.contains(new AnswerKey(suspect, softwareVersion)));
            if (reportScheduled || !wanted) {
                return;
            }
            reportScheduled = true;
        }
        scheduler.schedule(REPORT_DELAY, this::reportAnswers);
    }

    /**
     * Reports a request that was lost because its target crashed. The end of a target that announced that it is leaving
     * is no crash.
     *
     * @return the blocked suspects because of which the request is refused; fails if the control log returns no result
     */
    public CompletableFuture<List<SuspectId>> requestLost(
            TargetAnnouncement target, List<SuspectId> suspects, long sentNanos, long lostNanos) {
        if (suspects.isEmpty() || isLeaving(target.id())) {
            return CompletableFuture.completedFuture(List.of());
        }
        CompletableFuture<List<SuspectId>> verdict = reporter.report(target, suspects, sentNanos, lostNanos);
        verdict.thenAccept(this::adopt);
        return verdict;
    }

    /**
     * Records that the connection of a request was lost although its target may live. It is reported once the target
     * announces a new incarnation, which shows that the one that ran the request has ended.
     */
    public synchronized void connectionLost(
            TargetAnnouncement target, List<SuspectId> suspects, long sentNanos, long lostNanos) {
        unexplained.add(new UnexplainedLosses.Loss(target, suspects, sentNanos, lostNanos));
    }

    /** Reports the requests that were lost with an earlier incarnation of the target. */
    public void targetAnnounced(TargetAnnouncement target) {
        List<UnexplainedLosses.Loss> explained;
        synchronized (this) {
            explained = unexplained.explainedBy(target);
        }
        explained.forEach(loss -> requestLost(loss.target(), loss.suspects(), loss.sentNanos(), loss.lostNanos()));
    }

    private boolean isLeaving(TargetId target) {
        return targets.target(target).filter(TargetAnnouncement::leaving).isPresent();
    }

    private synchronized int countBlocked(Class<? extends SuspectId> kind) {
        return (int) blockedGroups.stream()
                .flatMap(Set::stream)
                .filter(kind::isInstance)
                .count();
    }

    private synchronized List<SuspectAnswer> answersOf(Collection<SuspectId> suspects) {
        return answers.of(suspects);
    }

    private synchronized void adopt(List<SuspectId> refusing) {
        long now = clock.nanos();
        reportedBlockNanos.values().removeIf(nanos -> now - nanos > REPORTED_BLOCK_VALIDITY.toNanos());
        refusing.stream()
                .collect(Collectors.groupingBy(Object::getClass, Collectors.toUnmodifiableSet()))
                .values()
                .forEach(group -> reportedBlockNanos.put(group, now));
    }

    /** Returns the groups of blocked suspects that a request with these suspects contains. */
    private Stream<Set<SuspectId>> refusingGroups(List<SuspectId> suspects) {
        if (blockedGroups.isEmpty() && reportedBlockNanos.isEmpty()) {
            return Stream.empty();
        }
        long now = clock.nanos();
        Stream<Set<SuspectId>> reported = reportedBlockNanos.entrySet().stream()
                .filter(entry -> now - entry.getValue() <= REPORTED_BLOCK_VALIDITY.toNanos())
                .map(Map.Entry::getKey);
        Set<SuspectId> contained = Set.copyOf(suspects);
        return Stream.concat(blockedGroups.stream(), reported).distinct().filter(contained::containsAll);
    }

    private void viewChanged(ControlView view) {
        synchronized (this) {
            if (view.suspects().isEmpty()
                    && view.blockedFingerprints().isEmpty()
                    && suspectsInView.isEmpty()
                    && blockedGroups.isEmpty()) {
                return;
            }
            Set<CrashSuspect> blockedNow =
                    view.suspects().stream().filter(CrashSuspect::blocked).collect(Collectors.toUnmodifiableSet());
            reportedAnswers.clear();
            suspectsInView =
                    view.suspects().stream().map(CrashSuspect::id).collect(Collectors.toCollection(HashSet::new));
            adoptBlocked(groups(view, blockedNow));
            trials.update(blockedNow);
        }
        reportAnswers();
    }

    /** Returns the groups of blocked suspects; a request that earlier builds have judged is a group of its own. */
    private static Set<Set<SuspectId>> groups(ControlView view, Set<CrashSuspect> blocked) {
        Stream<Set<SuspectId>> suspects = blocked.stream()
                .collect(Collectors.groupingBy(
                        CrashSuspect::group, Collectors.mapping(CrashSuspect::id, Collectors.toUnmodifiableSet())))
                .values()
                .stream();
        Stream<Set<SuspectId>> judgedEarlier =
                view.blockedFingerprints().stream().map(request -> Set.of(new RequestFingerprintId(request)));
        return Stream.concat(suspects, judgedEarlier).collect(Collectors.toUnmodifiableSet());
    }

    private void adoptBlocked(Set<Set<SuspectId>> next) {
        next.stream()
                .filter(group -> !blockedGroups.contains(group))
                .forEach(group -> LOGGER.atWarning().log("%s: %s", LogEvent.SUSPECT_BLOCKED, group));
        blockedGroups.stream().filter(group -> !next.contains(group)).forEach(group -> {
            reportedBlockNanos.remove(group);
            LOGGER.atInfo().log("%s: %s", LogEvent.SUSPECT_RELEASED, group);
        });
        blockedGroups = next;
    }

    private void reportAnswers() {
        List<SuspectAnswer> unreported;
        synchronized (this) {
            reportScheduled = false;
            unreported = answers.takeUnreported(suspectsInView);
            unreported.forEach(
                    answer -> reportedAnswers.add(new AnswerKey(answer.suspect(), answer.softwareVersion())));
        }
        if (!unreported.isEmpty()) {
            records.report(List.of(), unreported, ANSWER_DEADLINE).whenComplete((result, problem) -> {
                if (problem != null) {
                    LOGGER.atWarning().log("%s: %d responses", LogEvent.CRASH_REPORT_FAILED, unreported.size());
                }
            });
        }
    }

    /** Names a response by its suspect and the software version of its target. */
    private record AnswerKey(SuspectId suspect, Optional<String> softwareVersion) {}
}
