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
 * The accounts that share one lock. Every step runs under the lock; its messages, completions and commands leave after
 * the lock is released. Thread safe.
 */
final class BudgetShard {
    private final InstanceId self;
    private final MonotonicClock clock;
    private final Scheduler scheduler;
    private final Consumer<Outbox.Parcel> sender;
    private final BiFunction<AccountId, ControlCommand.AssignBucket, Runnable> submitter;
    private final ReentrantLock lock = new ReentrantLock();
    private final Map<AccountId, Entry> entries = new HashMap<>();
    private boolean draining;

    BudgetShard(
            InstanceId self,
            MonotonicClock clock,
            Scheduler scheduler,
            Consumer<Outbox.Parcel> sender,
            BiFunction<AccountId, ControlCommand.AssignBucket, Runnable> submitter) {
        this.self = self;
        this.clock = clock;
        this.scheduler = scheduler;
        this.sender = sender;
        this.submitter = submitter;
    }

    /** Creates the account if it is not known yet. */
    void ensure(AccountId account, Function<AccountId, AccountBudget> factory) {
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

    /** Stops claims of buckets. */
    void drain() {
        lock.lock();
        try {
            draining = true;
        } finally {
            lock.unlock();
        }
    }

    /** Runs one step on an account; empty if the account is not known. */
    <T> Optional<T> run(AccountId account, Step<T> step) {
        Outbox outbox = new Outbox();
        List<Outbox.Parcel> parcels = new ArrayList<>();
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
            deliverLocally(entry.budget, now, outbox, parcels);
            command = entry.budget
                    .nextCommand(draining, now, outbox)
                    .map(submitted -> submitter.apply(account, submitted));
            arm(entry, now);
        } finally {
            lock.unlock();
        }
        parcels.forEach(sender);
        outbox.actions().forEach(Runnable::run);
        command.ifPresent(Runnable::run);
        return Optional.ofNullable(result);
    }

    /** Messages to this instance itself take effect at once and cost no traffic. */
    private void deliverLocally(AccountBudget budget, long now, Outbox outbox, List<Outbox.Parcel> remote) {
        List<Outbox.Parcel> parcels = outbox.takeParcels();
        while (!parcels.isEmpty()) {
            for (Outbox.Parcel parcel : parcels) {
                if (parcel.recipient().equals(self)) {
                    budget.receive(self, parcel.message(), now, outbox);
                } else {
                    remote.add(parcel);
                }
            }
            parcels = outbox.takeParcels();
        }
    }

    private void arm(Entry entry, long now) {
        Optional<Long> due = entry.budget.nextDue(draining, now);
        boolean armedEarlier = entry.armedFor
                .filter(armed -> due.isEmpty() || armed - due.get() <= 0)
                .isPresent();
        if (due.isEmpty() || armedEarlier) {
            return;
        }
        entry.timer.ifPresent(Scheduler.Cancellable::cancel);
        long delay = Math.max(BudgetTiming.MINIMUM_TIMER, due.get() - now);
        AccountId account = entry.budget.account();
        entry.armedFor = due;
        entry.timer = Optional.of(scheduler.schedule(Duration.ofNanos(delay), () -> timePassed(account)));
    }

    private void timePassed(AccountId account) {
        run(account, (budget, now, outbox) -> {
            Entry entry = entries.get(account);
            entry.armedFor = Optional.empty();
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

    /** An account with its timer. */
    private static final class Entry {
        private final AccountBudget budget;
        private Optional<Long> armedFor = Optional.empty();
        private Optional<Scheduler.Cancellable> timer = Optional.empty();

        Entry(AccountBudget budget) {
            this.budget = budget;
        }
    }
}
