package org.basilrill.coordination.budget;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.random.RandomGenerator;
import java.util.stream.IntStream;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.MonotonicClock;
import org.basilrill.api.PeerChannel;
import org.basilrill.api.PeerHandler;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.Scheduler;
import org.basilrill.coordination.admission.TokenAdmission;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;

/**
 * Rates and bursts of all client accounts at one instance. No account ever spends more than its burst plus its rate
 * times the length of a window, in any window and over all instances together: the owner of a bucket grants only what
 * is in it, only while its session lease holds, and a lost grant counts as spent.
 *
 * <p>Register the object as handler of {@link PeerSubject#BUDGET}. Starts no thread: it acts when called, when a
 * message arrives and when the scheduler runs its timers. Thread safe; state is in shards by account, each with its
 * lock, and no lock is held while messages are sent or futures completed.
 */
public final class ClientBudgets implements PeerHandler, TokenAdmission {
    /** More than the cores of an instance, so that accounts rarely share a busy lock. */
    private static final int SHARDS = 16;

    private final InstanceId self;
    private final PeerChannel channel;
    private final ControlClient control;
    private final BudgetMessageCodec codec;
    private final long incarnation;
    private final LossTolerance tolerance;
    private final OwnerRanking ranking;
    private final List<BudgetShard> shards;

    /** Creates the budgets of one process, with limits that hold without exception. */
    public ClientBudgets(
            InstanceId self,
            MonotonicClock clock,
            Scheduler scheduler,
            RandomGenerator random,
            PeerChannel channel,
            ControlClient control,
            BudgetMessageCodec codec) {
        this(self, clock, scheduler, random, channel, control, codec, LossTolerance.NONE, OwnerRanking.EQUAL);
    }

    /**
     * Creates the budgets of one process.
     *
     * @param random source of the number that tells this process from earlier ones of the same instance
     * @param tolerance what an account may spend above its limits when the owner of its bucket is lost
     * @param ranking who is to own the buckets
     */
    public ClientBudgets(
            InstanceId self,
            MonotonicClock clock,
            Scheduler scheduler,
            RandomGenerator random,
            PeerChannel channel,
            ControlClient control,
            BudgetMessageCodec codec,
            LossTolerance tolerance,
            OwnerRanking ranking) {
        this.tolerance = tolerance;
        this.ranking = ranking;
        this.self = self;
        this.channel = channel;
        this.control = control;
        this.codec = codec;
        this.incarnation = random.nextLong();
        this.shards = IntStream.range(0, SHARDS)
                .mapToObj(index -> new BudgetShard(self, clock, scheduler, this::send, this::submission))
                .toList();
    }

    /** Begins to follow the control log. Call once, after the object is registered for its messages. */
    public void start() {
        control.onView(this::viewChanged);
        viewChanged(control.view());
    }

    @Override
    public CompletableFuture<Charge> charge(AccountId account, long tokens, long deadlineNanos) {
        if (tokens < 0) {
            throw new IllegalArgumentException("charge of " + tokens + " tokens");
        }
        CompletableFuture<Charge> result = new CompletableFuture<>();
        if (tokens == 0) {
            result.complete(new TokenCharge(0, unused -> {}));
            return result;
        }
        boolean known = shard(account)
                .run(account, (budget, now, outbox) -> {
                    budget.charge(tokens, deadlineNanos, result, now, outbox);
                    return true;
                })
                .isPresent();
        if (!known) {
            result.completeExceptionally(AccountBudget.unknownAccount(account));
        }
        return result;
    }

    @Override
    public void received(InstanceId sender, byte[] payload) {
        BudgetMessage message = codec.decode(payload);
        run(message.account(), (budget, now, outbox) -> budget.receive(sender, message, now, outbox));
    }

    /**
     * Hands the buckets owned here over to other instances and claims none from now on. Charges go on.
     *
     * @return completes once every bucket has another owner, or at once if there is no other instance; does not fail,
     *     but may never complete while the control log is unavailable
     */
    public CompletableFuture<Void> handOver() {
        List<CompletableFuture<Void>> departures = new ArrayList<>();
        for (BudgetShard shard : shards) {
            shard.drain();
            for (AccountId account : shard.accounts()) {
                shard.run(account, (budget, now, outbox) -> budget.depart(now)).ifPresent(departures::add);
            }
        }
        return CompletableFuture.allOf(departures.toArray(CompletableFuture[]::new));
    }

    /** Returns the state of every account known here, by name. */
    public List<BudgetSnapshot> snapshots() {
        List<BudgetSnapshot> snapshots = new ArrayList<>();
        for (BudgetShard shard : shards) {
            for (AccountId account : shard.accounts()) {
                shard.run(account, (budget, now, outbox) -> budget.snapshot(now))
                        .ifPresent(snapshots::add);
            }
        }
        snapshots.sort(Comparator.comparing(BudgetSnapshot::account));
        return List.copyOf(snapshots);
    }

    private void viewChanged(ControlView view) {
        Set<AccountId> accounts = new HashSet<>(view.rules().accounts().keySet());
        accounts.addAll(view.bucketOwners().keySet());
        accounts.forEach(account -> shard(account).ensure(account, this::create));
        for (BudgetShard shard : shards) {
            for (AccountId account : shard.accounts()) {
                run(account, (budget, now, outbox) -> budget.viewChanged(view, now, outbox));
            }
        }
    }

    private AccountBudget create(AccountId account) {
        GrantRequester requester = new GrantRequester(account, incarnation, parts -> charge(account, parts));
        return new AccountBudget(account, self, control, requester, tolerance, ranking);
    }

    private Charge charge(AccountId account, List<LocalPool.Part> parts) {
        long tokens = parts.stream().mapToLong(LocalPool.Part::tokens).sum();
        return new TokenCharge(
                tokens, unused -> run(account, (budget, now, outbox) -> budget.takeBack(parts, unused, now, outbox)));
    }

    private void send(Outbox.Parcel parcel) {
        channel.send(parcel.recipient(), PeerSubject.BUDGET, codec.encode(parcel.message()));
    }

    private Runnable submission(AccountId account, ControlCommand.AssignBucket command) {
        return () -> control.submit(command, BudgetTiming.COMMAND_DEADLINE)
                .handle((result, failure) -> newOwner(result))
                .thenAccept(
                        held -> run(account, (budget, now, outbox) -> budget.commandEnded(command, held, now, outbox)));
    }

    private static Optional<BucketDeparture.NewOwner> newOwner(ControlResult result) {
        return result instanceof ControlResult.BucketHeld held
                ? Optional.of(new BucketDeparture.NewOwner(held.owner(), held.epoch()))
                : Optional.empty();
    }

    private void run(AccountId account, VoidStep step) {
        shard(account).run(account, (budget, now, outbox) -> {
            step.run(budget, now, outbox);
            return true;
        });
    }

    private BudgetShard shard(AccountId account) {
        return shards.get(Math.floorMod(account.hashCode(), SHARDS));
    }

    /** A step without a result. */
    @FunctionalInterface
    private interface VoidStep {
        void run(AccountBudget budget, long nowNanos, Outbox outbox);
    }
}
