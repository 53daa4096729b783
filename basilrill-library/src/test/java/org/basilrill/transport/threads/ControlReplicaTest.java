package org.basilrill.transport.threads;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.basilrill.api.InstanceId;
import org.basilrill.api.PeerChannel;
import org.basilrill.coordination.consensus.AddressedMessage;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendRequest;
import org.basilrill.coordination.consensus.ReplicaRole;
import org.basilrill.coordination.consensus.ReplicaStatus;
import org.basilrill.protocol.peer.ConsensusCodec;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.ReplicatedStateMachine;
import org.basilrill.transport.disk.SimulatedDisk;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Runs replicas on real threads and files. Messages between them are passed within the process. */
@Timeout(value = 60, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class ControlReplicaTest {
    private static final List<InstanceId> FOUNDERS =
            Stream.of("a", "b", "c").map(InstanceId::new).toList();

    @TempDir
    private Path root;

    private final Map<InstanceId, ControlReplica> running = new ConcurrentHashMap<>();
    private final Map<InstanceId, SimulatedDisk> disks = new ConcurrentHashMap<>();
    /** Replicas whose next message fails with an exception. */
    private final Set<InstanceId> failNextSend = ConcurrentHashMap.newKeySet();

    @AfterEach
    void stopAll() {
        List.copyOf(running.keySet()).forEach(this::stop);
    }

    /** Guards against results that are lost or swapped between concurrent proposals with a common sync. */
    @Test
    void concurrentProposalsEachCompleteOnceInOneOrder() {
        FOUNDERS.forEach(this::start);
        propose(0);
        ControlReplica leader = awaitLeader();
        List<CompletableFuture<byte[]>> results = IntStream.range(0, 500)
                .parallel()
                .mapToObj(number -> leader.propose(new byte[] {1}))
                .toList();
        List<Long> sums = results.stream()
                .map(result -> ByteBuffer.wrap(result.join()).getLong())
                .sorted()
                .toList();
        assertThat(
                sums, is(IntStream.rangeClosed(1, 500).mapToObj(Long::valueOf).toList()));
        assertThat(leader.confirm().join() >= 500, is(true));
    }

    /** Guards against state that is lost when all processes stop. */
    @Test
    void stateSurvivesARestartOfAllReplicas() {
        FOUNDERS.forEach(this::start);
        IntStream.range(0, 50).forEach(number -> propose(1));
        FOUNDERS.forEach(this::stop);
        FOUNDERS.forEach(this::start);
        assertThat(propose(0), is(50L));
    }

    /**
     * Guards against a replica that starts from corrupt records, or that never rejoins the cluster after corruption.
     */
    @Test
    void aReplicaWithADamagedLogRejoinsUnderANewIncarnation() throws IOException {
        FOUNDERS.forEach(this::start);
        IntStream.range(0, 50).forEach(number -> propose(1));
        InstanceId damaged = FOUNDERS.get(1);
        long before = running.get(damaged).status().self().incarnation();
        stop(damaged);
        Path segment = root.resolve("b").resolve("segment-000000000001.log");
        byte[] content = Files.readAllBytes(segment);
        content[10] ^= 1;
        Files.write(segment, content);
        start(damaged);
        ControlReplica rebuilt = running.get(damaged);
        assertThat(rebuilt.status().self().incarnation(), is(not(before)));
        while (!rebuilt.status().members().contains(rebuilt.status().self())) {
            Thread.onSpinWait();
        }
        stop(FOUNDERS.get(0));
        assertThat(propose(0), is(50L));
    }

    /** Guards against futures that never complete once a replica is closed. */
    @Test
    void aClosedReplicaFailsProposals() {
        FOUNDERS.forEach(this::start);
        ControlReplica leader = awaitLeader();
        leader.close();
        assertThat(leader.propose(new byte[] {1}).isCompletedExceptionally(), is(true));
        assertThat(leader.confirm().isCompletedExceptionally(), is(true));
    }

    /**
     * Guards against a replica that never writes again after its disk was full for a time: the next full disk then
     * costs the majority.
     */
    @Test
    void aReplicaWhoseDiskWasFullTakesPartAgain() {
        FOUNDERS.forEach(this::startOnSimulatedDisk);
        propose(1);
        InstanceId first = leaderName();
        disks.get(first).setFull(true);
        proposeOnce(1);
        awaitRole(first, ReplicaRole.SUSPENDED);
        assertThat(propose(0) >= 1, is(true));
        disks.get(first).setFull(false);
        awaitCaughtUp(first);
        InstanceId second = leaderName();
        disks.get(second).setFull(true);
        proposeOnce(1);
        awaitRole(second, ReplicaRole.SUSPENDED);
        assertThat(propose(0) >= 1, is(true));
        assertThat(running.get(second).outage().isPresent(), is(true));
        assertThat(running.get(first).outage().isPresent(), is(false));
    }

    /** Guards against the loss of acknowledged commands, or of the cluster, when all disks are full at once. */
    @Test
    void allReplicasReturnAfterAllDisksWereFull() {
        FOUNDERS.forEach(this::startOnSimulatedDisk);
        IntStream.range(0, 50).forEach(number -> propose(1));
        disks.values().forEach(disk -> disk.setFull(true));
        proposeOnce(0);
        awaitRole(awaitSuspended(), ReplicaRole.SUSPENDED);
        disks.values().forEach(disk -> disk.setFull(false));
        assertThat(propose(0), is(50L));
        FOUNDERS.forEach(this::awaitCaughtUp);
    }

    /** Guards against a process that cannot start, or whose replica never begins, while the disk is full. */
    @Test
    void aReplicaStartsSuspendedOnAFullDisk() {
        InstanceId late = FOUNDERS.get(2);
        SimulatedDisk full = new SimulatedDisk(7);
        full.setFull(true);
        disks.put(late, full);
        FOUNDERS.forEach(this::startOnSimulatedDisk);
        assertThat(running.get(late).status().role(), is(ReplicaRole.SUSPENDED));
        assertThat(running.get(late).handOverLeadership(any -> true).join(), is(true));
        full.setFull(false);
        propose(1);
        awaitCaughtUp(late);
    }

    /**
     * Guards against a log that no longer acknowledges after the disk of each replica was full for a time, one after
     * the other and never two at once.
     */
    @Test
    void aChangeIsAcknowledgedAfterEachDiskWasFullTwice() {
        FOUNDERS.forEach(this::startOnSimulatedDisk);
        IntStream.range(0, 50).forEach(number -> propose(1));
        for (int round = 0; round < 2; round++) {
            for (InstanceId next : FOUNDERS) {
                FOUNDERS.forEach(this::awaitCaughtUp);
                disks.get(next).setFull(true);
                proposeOnce(0);
                awaitRole(next, ReplicaRole.SUSPENDED);
                assertThat(propose(0), is(50L));
                disks.get(next).setFull(false);
                awaitCaughtUp(next);
            }
        }
        FOUNDERS.forEach(this::awaitCaughtUp);
        assertThat(propose(1), is(51L));
        assertThat(awaitLeader().confirm().join() > 50, is(true));
    }

    /** Guards against a replica that stays out for good after an exception on its thread, in a process that lives. */
    @Test
    void aReplicaThatThrowsOnceTakesPartAgain() {
        FOUNDERS.forEach(this::startOnSimulatedDisk);
        IntStream.range(0, 50).forEach(number -> propose(1));
        InstanceId first = leaderName();
        FOUNDERS.forEach(this::awaitCaughtUp);
        failNextSend.add(first);
        awaitRole(first, ReplicaRole.SUSPENDED);
        assertThat(running.get(first).outage().isPresent(), is(false));
        awaitCaughtUp(first);
        FOUNDERS.forEach(this::awaitCaughtUp);
        InstanceId second = leaderName();
        disks.get(second).setFull(true);
        proposeOnce(0);
        awaitRole(second, ReplicaRole.SUSPENDED);
        assertThat(propose(0), is(50L));
    }

    /** Guards against a message that ends the replica: a record out of its place failed the store. */
    @Test
    void aMessageThatNoReplicaSendsIsDropped() {
        FOUNDERS.forEach(this::startOnSimulatedDisk);
        propose(1);
        InstanceId sender = FOUNDERS.get(0);
        long incarnation = running.get(sender).status().self().incarnation();
        LogRecord misplaced = new LogRecord(99, 1, RecordKind.COMMAND, new byte[] {1});
        AppendRequest request = new AppendRequest(1_000, 1, 1, 99, 1, List.of(misplaced));
        for (InstanceId recipient : FOUNDERS) {
            ControlReplica replica = running.get(recipient);
            AddressedMessage message =
                    new AddressedMessage(incarnation, replica.status().self().incarnation(), request);
            replica.received(sender, ConsensusCodec.encode(message));
        }
        assertThat(propose(0), is(1L));
        FOUNDERS.forEach(this::awaitCaughtUp);
        running.values().forEach(replica -> {
            assertThat(replica.failure().isPresent(), is(false));
            assertThat(replica.term() < 1_000, is(true));
        });
    }

    /** Guards against a process that lives on with a state machine that applied a part of a command. */
    @Test
    void aFailureOfTheStateMachineEndsTheProcess() {
        CompletableFuture<Integer> exitCode = new CompletableFuture<>();
        Thread.UncaughtExceptionHandler before = Thread.getDefaultUncaughtExceptionHandler();
        Thread.setDefaultUncaughtExceptionHandler(new FatalErrorHandler(
                exitCode::complete, (thread, exception) -> exitCode.completeExceptionally(exception)));
        try {
            FOUNDERS.forEach(this::start);
            awaitLeader().propose(new byte[0]);
            assertThat(exitCode.join(), is(FatalErrorHandler.EXIT_CODE));
        } finally {
            Thread.setDefaultUncaughtExceptionHandler(before);
        }
    }

    private void startOnSimulatedDisk(InstanceId instance) {
        SimulatedDisk disk = disks.computeIfAbsent(instance, name -> new SimulatedDisk(name.hashCode()));
        running.put(
                instance,
                ControlReplica.start(
                        instance,
                        FOUNDERS,
                        FOUNDERS,
                        new ReplicaStorage(
                                () -> disk.open(new Random(instance.hashCode())), failure -> true, System::nanoTime),
                        new Sum(),
                        channel(instance)));
    }

    private PeerChannel channel(InstanceId instance) {
        return (recipient, subject, payload) -> {
            if (failNextSend.remove(instance)) {
                throw new IllegalStateException("failure planned by the test");
            }
            Optional.ofNullable(running.get(recipient)).ifPresent(replica -> replica.received(instance, payload));
        };
    }

    private InstanceId leaderName() {
        ControlReplica leader = awaitLeader();
        return FOUNDERS.stream()
                .filter(instance -> running.get(instance) == leader)
                .findFirst()
                .orElseThrow();
    }

    private InstanceId awaitSuspended() {
        while (true) {
            Optional<InstanceId> suspended = FOUNDERS.stream()
                    .filter(instance -> running.get(instance).status().role() == ReplicaRole.SUSPENDED)
                    .findFirst();
            if (suspended.isPresent()) {
                return suspended.get();
            }
            Thread.onSpinWait();
        }
    }

    private void awaitRole(InstanceId instance, ReplicaRole role) {
        while (running.get(instance).status().role() != role) {
            Thread.onSpinWait();
        }
    }

    private void awaitCaughtUp(InstanceId instance) {
        ReplicaStatus caughtUp = running.get(instance).status();
        while (caughtUp.commitIndex() < awaitLeader().status().commitIndex()
                || caughtUp.role() == ReplicaRole.SUSPENDED
                || !caughtUp.members().contains(caughtUp.self())) {
            Thread.onSpinWait();
            caughtUp = running.get(instance).status();
        }
    }

    /** Proposes once to the leader, whether or not the proposal succeeds. */
    private void proposeOnce(int amount) {
        awaitLeader().propose(new byte[] {(byte) amount}).exceptionally(failure -> new byte[0]);
    }

    private void start(InstanceId instance) {
        running.put(
                instance,
                ControlReplica.start(instance, FOUNDERS, root.resolve(instance.value()), new Sum(), channel(instance)));
    }

    private void stop(InstanceId instance) {
        Optional.ofNullable(running.remove(instance)).ifPresent(ControlReplica::close);
    }

    private ControlReplica awaitLeader() {
        while (true) {
            Optional<ControlReplica> leader =
                    running.values().stream().filter(ControlReplica::isLeader).findFirst();
            if (leader.isPresent()) {
                return leader.get();
            }
            Thread.onSpinWait();
        }
    }

    /**
     * Adds to the sum and retries after a failure. The leader does not change while the tests add amounts other than 0,
     * so no retry adds an amount twice.
     */
    private long propose(int amount) {
        while (true) {
            try {
                byte[] result =
                        awaitLeader().propose(new byte[] {(byte) amount}).join();
                return ByteBuffer.wrap(result).getLong();
            } catch (CompletionException exception) {
                Thread.onSpinWait();
            }
        }
    }

    /** Adds the single byte of each command to a sum. */
    private static final class Sum implements ReplicatedStateMachine {
        private long sum;

        @Override
        public byte[] apply(long index, byte[] command) {
            sum += command[0];
            return snapshot();
        }

        @Override
        public byte[] snapshot() {
            return ByteBuffer.allocate(Long.BYTES).putLong(sum).array();
        }

        @Override
        public void restore(byte[] snapshot) {
            sum = ByteBuffer.wrap(snapshot).getLong();
        }
    }
}
