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
 * Enforces the rates and bursts of all client accounts at one instance. In any time window and over all instances
 * together, no account spends more than its burst plus its rate times the length of the window: the owner of a bucket
 * grants only tokens in the bucket, only while its session lease is valid, and a lost grant counts as spent.
 *
 * <p>Register the object as handler of {@link PeerSubject#BUDGET}. Starts no thread: it runs when called, when a
 * message is received and when the scheduler runs its timers. Thread safe; the accounts are divided into shards, each
 * with its own lock, and no lock is held while messages are sent or futures completed.
 */
public final class ClientBudgets implements PeerHandler, TokenAdmission {
    /** More shards than an instance has cores, so that accounts rarely contend for a lock. */
    private static final int SHARDS = 16;

    private final InstanceId self;
    private final PeerChannel channel;
    private final ControlClient control;
    private final BudgetMessageCodec codec;
    private final long incarnation;
    private final LossTolerance tolerance;
    private final OwnerRanking ranking;
    private final List<BudgetShard> shards;

    /** Creates the budgets of one process without loss tolerance: the limits hold without exception. */
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
     * @param random source of the incarnation, which distinguishes this process from earlier ones of the same instance
     * @param tolerance tokens that an account may spend above its limits when the owner of its bucket is lost
     * @param ranking preference among the instances that may own a bucket
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
                .mapToObj(index -> new BudgetShard(self, clock, scheduler, this::send, this::commandSubmission))
                .toList();
    }

    /** Subscribes to the control log. Called once, after the object is registered as message handler. */
    public void start() {
        control.onView(this::viewChanged);
        viewChanged(control.view());
    }

    @Override
    public CompletableFuture<Charge> charge(AccountId account, long tokens, long deadlineNanos) {
        if (tokens < 0) {
            throw new IllegalArgumentException("charge of " + tokens + " tokens is negative");
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
     * Hands the buckets owned here over to other instances and claims no more buckets. Charges continue to be
     * processed.
     *
     * @return a future that completes once every bucket has another owner, or at once if there is no other instance; it
     *     never fails, but may not complete while the control log is unavailable
     */
    public CompletableFuture<Void> handOver() {
        List<CompletableFuture<Void>> handovers = new ArrayList<>();
        for (BudgetShard shard : shards) {
            shard.stopClaims();
            for (AccountId account : shard.accounts()) {
                shard.run(account, (budget, now, outbox) -> budget.startHandover(now))
                        .ifPresent(handovers::add);
            }
        }
        return CompletableFuture.allOf(handovers.toArray(CompletableFuture[]::new));
    }

    /** Returns the state of every known account, ordered by name. */
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
        accounts.forEach(account -> shard(account).createIfAbsent(account, this::create));
        for (BudgetShard shard : shards) {
            for (AccountId account : shard.accounts()) {
                run(account, (budget, now, outbox) -> budget.viewChanged(view, now, outbox));
            }
        }
    }

    private AccountBudget create(AccountId account) {
        GrantRequester requester =
                new GrantRequester(account, incarnation, grantCharges -> charge(account, grantCharges));
        return new AccountBudget(account, self, control, requester, tolerance, ranking);
    }

    private Charge charge(AccountId account, List<LocalPool.GrantCharge> grantCharges) {
        long tokens =
                grantCharges.stream().mapToLong(LocalPool.GrantCharge::tokens).sum();
        return new TokenCharge(
                tokens,
                unused -> run(account, (budget, now, outbox) -> budget.refund(grantCharges, unused, now, outbox)));
    }

    private void send(Outbox.OutgoingMessage message) {
        channel.send(message.recipient(), PeerSubject.BUDGET, codec.encode(message.message()));
    }

    private Runnable commandSubmission(AccountId account, ControlCommand.AssignBucket command) {
        return () -> control.submit(command, BudgetTiming.COMMAND_DEADLINE)
                .handle((result, failure) -> newOwner(result))
                .thenAccept(reportedOwner -> run(
                        account,
                        (budget, now, outbox) -> budget.commandCompleted(command, reportedOwner, now, outbox)));
    }

    private static Optional<PlannedHandover.NewOwner> newOwner(ControlResult result) {
        return result instanceof ControlResult.BucketHeld reportedOwner
                ? Optional.of(new PlannedHandover.NewOwner(reportedOwner.owner(), reportedOwner.epoch()))
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
