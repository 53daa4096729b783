package org.basilrill.coordination.crash;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.LogEvent;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.api.SuspectId;
import org.basilrill.state.control.ControlCommand.LostRequest;
import org.basilrill.state.control.ControlCommand.SuspectAnswer;
import org.basilrill.state.target.TargetAnnouncement;

/**
 * Reports the lost requests of one instance to the control log: one report at a time, which contains all losses since
 * the one before, so that a crash of many targets does not flood the log. Losses that no report has brought to the log
 * are repeated with their age. Thread safe.
 */
final class CrashReporter {
    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    /** Limits the size of a record. */
    private static final int MAXIMUM_LOSSES_PER_REPORT = 256;

    /** Further losses are not reported; those of one crash are alike. */
    private static final int MAXIMUM_PENDING = 4096;

    /** Short, as a repeated record would state the ages that were true when it was first sent. */
    private static final Duration REPORT_DEADLINE = Duration.ofSeconds(1);

    /** Time for which a loss is reported again, such as after an election or a cut. */
    private static final Duration REPORTED_FOR = Duration.ofMinutes(1);

    private final SuspectRecords records;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final Function<Collection<SuspectId>, List<SuspectAnswer>> answers;
    private final Deque<Loss> pending = new ArrayDeque<>();
    private boolean reporting;

    /**
     * Creates a reporter.
     *
     * @param answers returns the last responses to requests with these suspects, which are reported with the losses
     */
    CrashReporter(
            SuspectRecords records,
            MonotonicClock clock,
            Scheduler scheduler,
            Function<Collection<SuspectId>, List<SuspectAnswer>> answers) {
        this.records = records;
        this.clock = clock;
        this.scheduler = scheduler;
        this.answers = answers;
    }

    /**
     * Reports a lost request.
     *
     * @param sentNanos time at which it was sent to the target
     * @param lostNanos time at which its connection was lost
     * @return the blocked suspects because of which it is refused; fails if the first report gets no result
     */
    CompletableFuture<List<SuspectId>> report(
            TargetAnnouncement target, List<SuspectId> suspects, long sentNanos, long lostNanos) {
        Loss loss = new Loss(target, List.copyOf(suspects), sentNanos, lostNanos, new CompletableFuture<>());
        synchronized (this) {
            if (pending.size() >= MAXIMUM_PENDING) {
                return CompletableFuture.failedFuture(
                        new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "too many losses wait to be reported"));
            }
            pending.add(loss);
        }
        reportPending();
        return loss.verdict();
    }

    private void reportPending() {
        List<Loss> batch = new ArrayList<>();
        synchronized (this) {
            if (reporting || pending.isEmpty()) {
                return;
            }
            reporting = true;
            while (batch.size() < MAXIMUM_LOSSES_PER_REPORT && !pending.isEmpty()) {
                batch.add(pending.remove());
            }
        }
        List<SuspectId> suspects = batch.stream()
                .flatMap(loss -> loss.suspects().stream())
                .distinct()
                .toList();
        List<LostRequest> lost = batch.stream().map(this::encoded).toList();
        records.report(lost, answers.apply(suspects), REPORT_DEADLINE)
                .whenComplete((verdicts, problem) -> reported(batch, verdicts, problem));
    }

    private void reported(List<Loss> batch, List<List<SuspectId>> verdicts, Throwable problem) {
        synchronized (this) {
            reporting = false;
            if (problem != null) {
                batch.stream().filter(this::isRecent).forEach(pending::addLast);
            }
        }
        if (problem == null) {
            for (int index = 0; index < batch.size(); index++) {
                batch.get(index).verdict().complete(verdicts.get(index));
            }
            reportPending();
            return;
        }
        LOGGER.atWarning().log("%s: %d lost requests: %s", LogEvent.CRASH_REPORT_FAILED, batch.size(), problem);
        batch.forEach(loss -> loss.verdict().completeExceptionally(problem));
        scheduler.schedule(REPORT_DEADLINE, this::reportPending);
    }

    private boolean isRecent(Loss loss) {
        return clock.nanos() - loss.lostNanos() < REPORTED_FOR.toNanos();
    }

    private LostRequest encoded(Loss loss) {
        return new LostRequest(
                loss.target().id(),
                loss.target().incarnation(),
                loss.target().softwareVersion(),
                TimeUnit.NANOSECONDS.toMillis(clock.nanos() - loss.lostNanos()),
                TimeUnit.NANOSECONDS.toMillis(loss.lostNanos() - loss.sentNanos()),
                loss.suspects());
    }

    /** A lost request and the future of its first verdict. */
    private record Loss(
            TargetAnnouncement target,
            List<SuspectId> suspects,
            long sentNanos,
            long lostNanos,
            CompletableFuture<List<SuspectId>> verdict) {}
}
