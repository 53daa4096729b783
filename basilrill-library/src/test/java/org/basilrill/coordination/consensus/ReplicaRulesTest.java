package org.basilrill.coordination.consensus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;
import org.basilrill.api.InstanceId;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.AppendResponse;
import org.basilrill.coordination.consensus.ConsensusMessage.JoinRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.SnapshotChunk;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteRequest;
import org.basilrill.coordination.consensus.ConsensusMessage.VoteResponse;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Snapshot;
import org.basilrill.state.log.DurableStore.Vote;
import org.basilrill.state.log.InMemoryDurableStore;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/** Passes single messages to one replica of three, in orders that random tests rarely produce. */
class ReplicaRulesTest {
    private static final ReplicaId SELF = new ReplicaId(new InstanceId("a"), 1);
    private static final ReplicaId SECOND = new ReplicaId(new InstanceId("b"), 2);
    private static final ReplicaId THIRD = new ReplicaId(new InstanceId("c"), 3);
    private static final long OLD_TERM = 2;
    private static final long TERM = 3;

    private final InMemoryDurableStore store = new InMemoryDurableStore(SELF.incarnation());
    private final List<ConsensusMessage> sent = new ArrayList<>();
    private long now = 1;
    private Replica replica;

    /**
     * Fills the store with the member set and one record of term 2, neither known to be committed, and starts the
     * replica.
     */
    @BeforeEach
    void startInTermThree() {
        MemberSet members = new MemberSet(new TreeSet<>(List.of(SELF, SECOND, THIRD)));
        store.append(List.of(
                new LogRecord(1, 1, RecordKind.MEMBERS, members.encode()),
                new LogRecord(2, OLD_TERM, RecordKind.COMMAND, HistoryMachine.command(7))));
        store.saveVote(new Vote(TERM, Optional.empty()));
        restart();
    }

    /**
     * Guards against committing a record of an earlier term by its replica count; a later leader may still replace it.
     */
    @Test
    void aRecordOfAnEarlierTermIsNotCommittedByReplicaCountAlone() {
        becomeLeader();
        receive(SECOND, new AppendResponse(TERM + 1, true, 2, 1));
        replica.flush();
        assertThat(replica.status().commitIndex(), is(0L));
        receive(SECOND, new AppendResponse(TERM + 1, true, 3, 1));
        replica.flush();
        assertThat(replica.status().commitIndex(), is(3L));
    }

    /** Guards against heap exhaustion by a single write of everything proposed while the disk was slow. */
    @Test
    void manyLargeProposalsAreWrittenInGroupsAndInOrder() {
        becomeLeader();
        for (int number = 0; number < 20; number++) {
            byte[] command = new byte[1 << 20];
            command[0] = (byte) number;
            replica.propose(command, new CompletableFuture<>());
        }
        replica.flush();
        List<LogRecord> written = store.read(4, Integer.MAX_VALUE);
        assertThat(
                written.stream().map(next -> (int) next.payload()[0]).toList(),
                is(IntStream.range(0, 20).boxed().toList()));
        assertThat(store.largestWrite(), is(8L << 20));
    }

    /** Guards against a candidate that deposes a leader with which this replica has contact. */
    @Test
    void votesAreRefusedAfterRecentLeaderContact() {
        advanceClock(Duration.ofSeconds(1));
        receive(SECOND, new AppendRequest(TERM, 2, OLD_TERM, 0, 1, List.of()));
        sent.clear();
        advanceClock(Duration.ofMillis(249));
        receive(THIRD, new VoteRequest(TERM + 1, 9, TERM, true));
        receive(THIRD, new VoteRequest(TERM + 1, 9, TERM, false));
        assertThat(sent, is(empty()));
        assertThat(replica.status().term(), is(TERM));
        advanceClock(Duration.ofMillis(2));
        receive(THIRD, new VoteRequest(TERM + 1, 9, TERM, false));
        assertThat(sent, contains(new VoteResponse(TERM + 1, false, true)));
    }

    /** Guards against electing a leader that lacks records which may be committed. */
    @Test
    void aCandidateWithAnOlderLogGetsNoVote() {
        advanceClock(Duration.ofSeconds(1));
        receive(THIRD, new VoteRequest(TERM + 1, 9, 1, false));
        receive(THIRD, new VoteRequest(TERM + 2, 1, OLD_TERM, false));
        receive(THIRD, new VoteRequest(TERM + 3, 2, OLD_TERM, false));
        assertThat(
                sent,
                contains(
                        new VoteResponse(TERM + 1, false, false),
                        new VoteResponse(TERM + 2, false, false),
                        new VoteResponse(TERM + 3, false, true)));
    }

    /** Guards against a vote that is lost in a restart and granted again to another candidate. */
    @Test
    void aSecondCandidateOfATermGetsNoVoteEvenAfterARestart() {
        advanceClock(Duration.ofSeconds(1));
        receive(SECOND, new VoteRequest(TERM + 1, 2, OLD_TERM, false));
        assertThat(sent, contains(new VoteResponse(TERM + 1, false, true)));
        restart();
        advanceClock(Duration.ofSeconds(1));
        sent.clear();
        receive(THIRD, new VoteRequest(TERM + 1, 2, OLD_TERM, false));
        assertThat(sent, contains(new VoteResponse(TERM + 1, false, false)));
    }

    /** Guards against delayed messages of a lost incarnation that replace the current incarnation of the instance. */
    @Test
    void aLostIncarnationIsNotPromotedByLateMessages() {
        becomeLeader();
        ReplicaId lost = new ReplicaId(THIRD.instance(), 99);
        receive(SECOND, new AppendResponse(TERM + 1, true, 3, 1));
        replica.received(
                lost.instance(),
                new AddressedMessage(lost.incarnation(), AddressedMessage.ANY_INCARNATION, new JoinRequest()));
        receive(lost, new AppendResponse(TERM + 1, true, 3, 1));
        replica.flush();
        assertThat(replica.status().members().contains(THIRD), is(true));
        advanceClock(Duration.ofMillis(60));
        replica.tick();
        receive(lost, new AppendResponse(TERM + 1, true, 3, 2));
        replica.flush();
        assertThat(replica.status().members().contains(THIRD), is(false));
    }

    /** Guards against a snapshot assembled from the chunks of two leaders that encode the same state differently. */
    @Test
    void chunksOfTwoLeadersAreNotMixed() {
        SnapshotReceiver receiver = new SnapshotReceiver();
        assertThat(receiver.add(chunk(4, 0, 1)), is(Optional.empty()));
        assertThat(receiver.add(chunk(5, 1, 2)), is(Optional.empty()));
        assertThat(receiver.nextOffset(), is(0L));
        receiver.add(chunk(5, 0, 2));
        receiver.add(chunk(5, 0, 2));
        assertThat(receiver.add(chunk(5, 1, 2)).map(Snapshot::state).orElseThrow(), is(new byte[] {2, 2}));
    }

    private void restart() {
        ReplicaEnvironment environment = new ReplicaEnvironment(
                () -> now, new Random(5), (recipient, message) -> sent.add(message.message()), (event, detail) -> {});
        replica = new Replica(
                SELF.instance(),
                List.of(),
                List.of(),
                store,
                new HistoryMachine(new HistoryOracle()),
                environment,
                ConsensusSettings.standard());
    }

    private static SnapshotChunk chunk(long term, long offset, int content) {
        return new SnapshotChunk(term, 10, 3, new byte[0], offset, 2, new byte[] {(byte) content}, 1);
    }

    private void becomeLeader() {
        advanceClock(Duration.ofSeconds(1));
        replica.tick();
        receive(SECOND, new VoteResponse(TERM + 1, true, true));
        receive(SECOND, new VoteResponse(TERM + 1, false, true));
        assertThat(replica.status().role(), is(ReplicaRole.LEADER));
    }

    private void advanceClock(Duration duration) {
        now += duration.toNanos();
    }

    private void receive(ReplicaId from, ConsensusMessage message) {
        replica.received(from.instance(), new AddressedMessage(from.incarnation(), SELF.incarnation(), message));
    }
}
