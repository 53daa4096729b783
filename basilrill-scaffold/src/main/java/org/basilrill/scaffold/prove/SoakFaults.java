package org.basilrill.scaffold.prove;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import org.basilrill.scaffold.prove.ProcessGroup.Signal;
import org.basilrill.scaffold.prove.Relay.ForwardingAction;

/**
 * Injects random faults from outside the processes: signals to instances, and connections between instances and to
 * targets that are delayed, silenced in one or both directions, or reset. Faults of different victims overlap; each
 * victim has one at a time. Thread safe.
 */
final class SoakFaults implements AutoCloseable {
    private static final int LONGEST_MILLIS = 4000;
    private static final int SHORTEST_MILLIS = 200;
    private static final int LONGEST_DELAY_MILLIS = 300;
    private static final Duration STOP_LIMIT = Duration.ofSeconds(75);

    private final Deployment deployment;
    private final List<String> relayedTargets;
    private final ExecutorService executor = Executors.newCachedThreadPool();
    private final Set<String> victims = new HashSet<>();
    private final List<CompletableFuture<Void>> injected = new ArrayList<>();

    SoakFaults(Deployment deployment, List<String> relayedTargets) {
        this.deployment = deployment;
        this.relayedTargets = relayedTargets;
    }

    /** Kinds of faults. */
    private enum Kind {
        KILL,
        PAUSE,
        TERMINATE,
        INSTANCE_LINK,
        TARGET_LINK
    }

    /** Injects one random fault in the background, unless its victim has one already. */
    void inject(Random random) {
        Kind kind = Kind.values()[random.nextInt(Kind.values().length)];
        List<String> possible = kind == Kind.TARGET_LINK ? relayedTargets : deployment.instances();
        String process = possible.get(random.nextInt(possible.size()));
        long millis = SHORTEST_MILLIS + random.nextInt(LONGEST_MILLIS - SHORTEST_MILLIS);
        Relay.Policy policy = policy(random);
        boolean link = kind == Kind.INSTANCE_LINK || kind == Kind.TARGET_LINK;
        String victim = link ? "link of " + process : process;
        synchronized (this) {
            if (!victims.add(victim)) {
                return;
            }
            injected.add(
                    CompletableFuture.runAsync(() -> injectAndEnd(kind, process, victim, millis, policy), executor));
        }
    }

    /** Waits until all faults have ended; returns how many there were. */
    int awaitEnd() {
        List<CompletableFuture<Void>> all;
        synchronized (this) {
            all = List.copyOf(injected);
        }
        all.forEach(CompletableFuture::join);
        return all.size();
    }

    @Override
    public void close() {
        executor.shutdownNow();
    }

    private void injectAndEnd(Kind kind, String process, String victim, long millis, Relay.Policy policy) {
        try {
            switch (kind) {
                case KILL -> {
                    deployment.kill(process);
                    Waiting.sleepMillis(millis);
                    deployment.startInstance(process);
                }
                case PAUSE -> {
                    deployment.signal(process, Signal.STOP);
                    Waiting.sleepMillis(millis);
                    deployment.signal(process, Signal.CONT);
                }
                case TERMINATE -> {
                    deployment.signal(process, Signal.TERM);
                    boolean ended = deployment.processes().ended(process, STOP_LIMIT);
                    ScenarioFailure.unless(ended, "an end of " + process + " after SIGTERM", "none");
                    deployment.startInstance(process);
                }
                default -> disturbLink(deployment.relay(process), millis, policy);
            }
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        } catch (RuntimeException exception) {
            throw exception;
        } catch (Exception exception) {
            throw new IllegalStateException(exception);
        } finally {
            synchronized (this) {
                victims.remove(victim);
            }
        }
    }

    /** Connections from before the end of a silence have lost bytes, so they are closed. */
    private static void disturbLink(Relay relay, long millis, Relay.Policy policy) throws InterruptedException {
        relay.setPolicy(policy);
        Waiting.sleepMillis(millis);
        long latest = relay.openedConnections();
        relay.setPolicy((connection, direction) ->
                connection.number() <= latest ? ForwardingAction.CUT : ForwardingAction.PASS);
    }

    private static Relay.Policy policy(Random random) {
        Relay.Direction half = Relay.Direction.values()[random.nextInt(2)];
        Duration delay = Duration.ofMillis(1 + random.nextInt(LONGEST_DELAY_MILLIS));
        return switch (random.nextInt(4)) {
            case 0 -> (connection, direction) -> ForwardingAction.SWALLOW;
            case 1 -> (connection, direction) -> direction == half ? ForwardingAction.SWALLOW : ForwardingAction.PASS;
            case 2 -> (connection, direction) -> ForwardingAction.CUT;
            default -> (connection, direction) -> ForwardingAction.delayed(delay);
        };
    }
}
