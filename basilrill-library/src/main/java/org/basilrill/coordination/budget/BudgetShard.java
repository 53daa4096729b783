package org.basilrill.coordination.budget;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiFunction;
import java.util.function.Consumer;
import java.util.function.Function;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.Scheduler;
import org.basilrill.state.control.ControlCommand;

/**
 * Accounts that share one lock. Every step runs under the lock; its messages are sent, its futures completed and its
 * commands submitted after the lock is released. Thread safe.
 */
final class BudgetShard {
    private final InstanceId self;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final Consumer<Outbox.OutgoingMessage> sender;
    private final BiFunction<AccountId, ControlCommand.AssignBucket, Runnable> submitter;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<AccountId, Entry> entries = new HashMap<>();
    private boolean draining;

    BudgetShard(
            InstanceId self,
            MonotonicClock clock,
            Scheduler scheduler,
            Consumer<Outbox.OutgoingMessage> sender,
            BiFunction<AccountId, ControlCommand.AssignBucket, Runnable> submitter) {
        this.self = self;
        this.clock = clock;
        this.scheduler = scheduler;
        this.sender = sender;
        this.submitter = submitter;
    }

    /** Creates the budget of the account if it is absent. */
    void createIfAbsent(AccountId account, Function<AccountId, AccountBudget> factory) {
        lock.lock();
        try {
            entries.computeIfAbsent(account, created -> new Entry(factory.apply(created)));
        } finally {
            lock.unlock();
        }
    }

    List<AccountId> accounts() {
        lock.lock();
        try {
            return entries.keySet().stream().sorted().toList();
        } finally {
            lock.unlock();
        }
    }

    /** Stops claiming buckets, because the instance drains. */
    void stopClaims() {
        lock.lock();
        try {
            draining = true;
        } finally {
            lock.unlock();
        }
    }

    /** Runs one step on an account and returns its result; empty if the account is unknown. */
    <T> Optional<T> run(AccountId account, Step<T> step) {
        Outbox outbox = new Outbox();
        List<Outbox.OutgoingMessage> messages = new ArrayList<>();
        Optional<Runnable> command;
        T result;
        lock.lock();
        try {
            Entry entry = entries.get(account);
            if (entry == null) {
                return Optional.empty();
            }
            long now = clock.nanos();
            result = step.run(entry.budget, now, outbox);
            deliverLocally(entry.budget, now, outbox, messages);
            command = entry.budget
                    .nextCommand(draining, now, outbox)
                    .map(submitted -> submitter.apply(account, submitted));
            scheduleTimer(entry, now);
        } finally {
            lock.unlock();
        }
        messages.forEach(sender);
        outbox.actions().forEach(Runnable::run);
        command.ifPresent(Runnable::run);
        return Optional.ofNullable(result);
    }

    /** Delivers messages to this instance itself at once, without network traffic; collects the others in the list. */
    private void deliverLocally(
            AccountBudget budget, long now, Outbox outbox, List<Outbox.OutgoingMessage> remoteMessages) {
        List<Outbox.OutgoingMessage> messages = outbox.drainMessages();
        while (!messages.isEmpty()) {
            for (Outbox.OutgoingMessage message : messages) {
                if (message.recipient().equals(self)) {
                    budget.receive(self, message.message(), now, outbox);
                } else {
                    remoteMessages.add(message);
                }
            }
            messages = outbox.drainMessages();
        }
    }

    private void scheduleTimer(Entry entry, long now) {
        Optional<Long> due = entry.budget.nextDue(draining, now);
        boolean scheduledEarlier = entry.timerDue
                .filter(scheduled -> due.isEmpty() || scheduled - due.get() <= 0)
                .isPresent();
        if (due.isEmpty() || scheduledEarlier) {
            return;
        }
        entry.timer.ifPresent(Scheduler.Cancellable::cancel);
        long delay = Math.max(BudgetTiming.MINIMUM_TIMER_DELAY, due.get() - now);
        AccountId account = entry.budget.account();
        entry.timerDue = due;
        entry.timer = Optional.of(scheduler.schedule(Duration.ofNanos(delay), () -> timerExpired(account)));
    }

    private void timerExpired(AccountId account) {
        run(account, (budget, now, outbox) -> {
            Entry entry = entries.get(account);
            entry.timerDue = Optional.empty();
            entry.timer = Optional.empty();
            budget.tick(now, outbox);
            return null;
        });
    }

    /** One step on an account, run under the lock of its shard. */
    @FunctionalInterface
    interface Step<T> {
        T run(AccountBudget budget, long nowNanos, Outbox outbox);
    }

    /** Budget of one account and its timer. */
    private static final class Entry {
        private final AccountBudget budget;
        private Optional<Long> timerDue = Optional.empty();
        private Optional<Scheduler.Cancellable> timer = Optional.empty();

        Entry(AccountBudget budget) {
            this.budget = budget;
        }
    }
}
