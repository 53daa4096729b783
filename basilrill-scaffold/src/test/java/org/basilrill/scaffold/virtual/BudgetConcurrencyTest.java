package org.basilrill.scaffold.virtual;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.api.VirtualTime;
import org.basilrill.coordination.budget.ClientBudgets;
import org.basilrill.protocol.peer.ThriftBudgetCodec;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlClient;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlResult;
import org.basilrill.state.control.ControlView;
import org.junit.jupiter.api.Test;

/** Guards the token accounting under concurrent charges: without a refill, exactly one burst can be spent. */
class BudgetConcurrencyTest {
    private static final AccountId ACCOUNT = new AccountId("parish-desk");
    private static final InstanceId OWNER = new InstanceId("owner");
    private static final InstanceId OTHER = new InstanceId("other");
    private static final long BURST = 120_000;
    private static final int THREADS = 6;
    private static final int CHARGES = 5_000;

    private final VirtualTime time = new VirtualTime();
    private final Map<InstanceId, ClientBudgets> budgets = new HashMap<>();

    /** Guards against two threads that charge the same tokens, and against deadlocks between instances. */
    @Test
    void severalThreadsSpendExactlyTheBurst() throws InterruptedException, ExecutionException {
        for (InstanceId instance : List.of(OWNER, OTHER)) {
            budgets.put(
                    instance,
                    new ClientBudgets(
                            instance,
                            time,
                            time,
                            new Random(4719),
                            (recipient, subject, payload) ->
                                    budgets.get(recipient).received(instance, payload),
                            new FixedControl(instance),
                            new ThriftBudgetCodec()));
        }
        budgets.values().forEach(ClientBudgets::start);
        AtomicLong spent = new AtomicLong();
        ExecutorService threads = Executors.newFixedThreadPool(THREADS);
        List<Future<?>> running = new ArrayList<>();
        for (int thread = 0; thread < THREADS; thread++) {
            ClientBudgets used = budgets.get(thread % 2 == 0 ? OWNER : OTHER);
            running.add(threads.submit(() -> {
                for (int number = 0; number < CHARGES; number++) {
                    used.charge(ACCOUNT, 10, Long.MAX_VALUE).thenAccept(charge -> {
                        charge.settle(5);
                        spent.addAndGet(5);
                    });
                }
            }));
        }
        for (Future<?> task : running) {
            task.get();
        }
        threads.shutdown();
        // Refills less than one token, and is long enough that reports and refunds are sent.
        time.advance(Duration.ofMillis(600));
        long unspent = budgets.values().stream()
                .mapToLong(instance -> instance.snapshots().get(0).unspentTokens())
                .sum();
        long level =
                budgets.get(OWNER).snapshots().get(0).bucket().orElseThrow().level();
        assertThat(spent.get() + unspent + level, is(BURST));
    }

    /** A control client with a view that never changes and a lease that never expires. */
    private record FixedControl(InstanceId instance) implements ControlClient {
        @Override
        public CompletableFuture<ControlResult> submit(ControlCommand command, Duration deadline) {
            return new CompletableFuture<>();
        }

        @Override
        public ControlView view() {
            Rules rules = new Rules(
                    1,
                    Map.of(ACCOUNT, new Rules.Account(ACCOUNT, 1, BURST, 1)),
                    Map.of(),
                    Map.of(),
                    Map.of(),
                    Map.of(),
                    Map.of(),
                    List.of(),
                    Rules.StoreLimits.defaults());
            return new ControlView(
                    1,
                    rules,
                    Map.of(ACCOUNT, new ControlView.BucketOwner(OWNER, 1, 1, BURST)),
                    Set.of(),
                    Map.of(OWNER, 1L, OTHER, 2L));
        }

        @Override
        public Optional<Duration> confirmationAge() {
            return Optional.of(Duration.ZERO);
        }

        @Override
        public boolean isCurrent() {
            return true;
        }

        @Override
        public long sessionId() {
            return instance.equals(OWNER) ? 1 : 2;
        }

        @Override
        public boolean holdsSession() {
            return true;
        }

        @Override
        public void onView(Consumer<ControlView> listener) {
            // The view never changes.
        }
    }
}
