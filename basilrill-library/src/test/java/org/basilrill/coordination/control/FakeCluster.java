package org.basilrill.coordination.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.Predicate;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerSubject;
import org.basilrill.api.VirtualTime;
import org.basilrill.state.configuration.RulesParser;
import org.basilrill.state.control.ControlCommand;
import org.basilrill.state.control.ControlStateMachine;

/**
 * Replicas that share one committed log, and instances that are connected to them over a channel that loses, delays,
 * duplicates and reorders messages. Only a leader that is not isolated commits or confirms.
 */
final class FakeCluster {
    private final VirtualTime time = new VirtualTime();
    private final Random random;
    private final List<byte[]> committed = new ArrayList<>();
    private final List<InstanceId> replicas;
    private final Map<InstanceId, Replica> logs = new HashMap<>();
    private final Map<InstanceId, ControlEndpoint> endpoints = new HashMap<>();
    private final Set<InstanceId> isolated = new HashSet<>();
    private Predicate<ControlCommand> proposable = command -> true;
    private double lossProbability;
    private int delayMillis = 1;
    private long wallClockOffsetMillis;
    private Optional<InstanceId> leader = Optional.empty();
    private long term;

    FakeCluster(int replicaCount, long seed) {
        random = new Random(seed);
        replicas = java.util.stream.IntStream.range(0, replicaCount)
                .mapToObj(number -> new InstanceId("replica" + number))
                .toList();
        replicas.forEach(id -> {
            Replica log = new Replica(id);
            logs.put(id, log);
            ControlLogServer server = new ControlLogServer(
                    endpoint(id),
                    log,
                    log.machine,
                    () -> replicas,
                    time,
                    time,
                    new Random(random.nextLong()),
                    () -> time.nanos() / 1_000_000,
                    command -> proposable.test(command));
            server.start();
        });
        elect(replicas.get(0));
    }

    /** Returns a client whose changes are acknowledged as soon as they are committed. */
    ControlLogClient client(InstanceId id) {
        return client(id, ViewPuller.FRESHNESS_BOUND);
    }

    ControlLogClient client(InstanceId id, Duration inForceWithin) {
        return new ControlLogClient(
                endpoint(id),
                replicas,
                RulesParser::parse,
                time,
                this::wallClockMillis,
                time,
                new Random(random.nextLong()),
                inForceWithin);
    }

    /** Sets the wall clock of all instances forward or back; to an instance, forward looks like a suspension. */
    void moveWallClock(Duration difference) {
        wallClockOffsetMillis += difference.toMillis();
    }

    private long wallClockMillis() {
        return time.nanos() / 1_000_000 + wallClockOffsetMillis;
    }

    List<InstanceId> replicas() {
        return replicas;
    }

    ControlStateMachine machine(InstanceId replica) {
        return logs.get(replica).machine;
    }

    VirtualTime time() {
        return time;
    }

    int committedCommands() {
        return committed.size();
    }

    void elect(InstanceId replica) {
        leader = Optional.of(replica);
        term++;
        logs.get(replica).catchUp();
        logs.get(replica).believedTerm = term;
    }

    void depose() {
        leader = Optional.empty();
        term++;
    }

    void isolate(InstanceId instance) {
        isolated.add(instance);
    }

    void reconnect(InstanceId instance) {
        isolated.remove(instance);
    }

    /** Sets which commands all replicas understand. */
    void understand(Predicate<ControlCommand> understood) {
        proposable = understood;
    }

    void delayMessages(Duration delay) {
        delayMillis = (int) delay.toMillis();
    }

    void loseMessages(double probability) {
        lossProbability = probability;
    }

    private ControlEndpoint endpoint(InstanceId id) {
        return endpoints.computeIfAbsent(
                id,
                self -> new ControlEndpoint(self, (to, subject, payload) -> send(self, to, subject, payload), time));
    }

    private void send(InstanceId from, InstanceId to, PeerSubject subject, byte[] payload) {
        if (subject != PeerSubject.CONTROL) {
            throw new IllegalArgumentException("unexpected subject " + subject);
        }
        int copies = random.nextDouble() < lossProbability / 2 ? 2 : 1;
        for (int copy = 0; copy < copies; copy++) {
            if (random.nextDouble() < lossProbability) {
                continue;
            }
            int delay = lossProbability > 0 && random.nextInt(10) == 0 ? random.nextInt(2_000) : delayMillis;
            time.schedule(Duration.ofMillis(delay), () -> {
                if (!isolated.contains(from) && !isolated.contains(to)) {
                    endpoints.get(to).received(from, payload);
                }
            });
        }
    }

    /** The log of one replica. An isolated replica keeps its last known role and term. */
    private final class Replica implements ControlLog {
        private final InstanceId self;
        private final ControlStateMachine machine = new ControlStateMachine();
        private int applied;
        private long believedTerm;

        private Replica(InstanceId self) {
            this.self = self;
            applyPeriodically();
        }

        @Override
        public CompletableFuture<byte[]> propose(byte[] command) {
            if (!isLeader()) {
                return CompletableFuture.failedFuture(new BasilrillException(ErrorCode.NOT_LEADER, "not the leader"));
            }
            CompletableFuture<byte[]> result = new CompletableFuture<>();
            time.schedule(Duration.ofMillis(2), () -> {
                if (!isActualLeader()) {
                    result.completeExceptionally(new BasilrillException(ErrorCode.CONTROL_UNAVAILABLE, "deposed"));
                    return;
                }
                committed.add(command);
                result.complete(catchUp());
            });
            return result;
        }

        @Override
        public CompletableFuture<Long> confirm() {
            CompletableFuture<Long> result = new CompletableFuture<>();
            time.schedule(Duration.ofMillis(2), () -> {
                if (isActualLeader()) {
                    catchUp();
                    result.complete((long) applied);
                } else {
                    result.completeExceptionally(new BasilrillException(ErrorCode.NOT_LEADER, "no quorum"));
                }
            });
            return result;
        }

        @Override
        public Optional<InstanceId> leader() {
            return isolated.contains(self) ? Optional.of(self).filter(id -> isLeader()) : leader;
        }

        @Override
        public CompletableFuture<Boolean> handOverLeadership(Predicate<InstanceId> successors) {
            return CompletableFuture.completedFuture(false);
        }

        @Override
        public boolean isLeader() {
            return believedTerm > 0 && (isolated.contains(self) || isActualLeader());
        }

        @Override
        public long term() {
            return believedTerm;
        }

        private boolean isActualLeader() {
            return leader.equals(Optional.of(self)) && believedTerm == term && !isolated.contains(self);
        }

        /** Applies what is committed; returns the result of the last command. */
        private byte[] catchUp() {
            byte[] result = new byte[0];
            while (applied < committed.size()) {
                // Indexes have gaps, because the real log also contains records that are not applied to the state
                // machine.
                result = machine.apply(2L * applied + 2, committed.get(applied));
                applied++;
            }
            return result;
        }

        /** Applies committed commands on followers with a delay of up to 60 ms. */
        private void applyPeriodically() {
            time.schedule(Duration.ofMillis(1 + random.nextInt(60)), () -> {
                if (!isolated.contains(self)) {
                    catchUp();
                }
                applyPeriodically();
            });
        }
    }
}
