package org.basilrill.coordination.consensus;

import java.util.Optional;
import java.util.function.BiConsumer;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.api.LogEvent;
import org.basilrill.state.log.DurableStore;
import org.basilrill.state.log.DurableStore.LogRecord;
import org.basilrill.state.log.DurableStore.RecordKind;
import org.basilrill.state.log.DurableStore.Snapshot;
import org.basilrill.state.log.DurableStore.Vote;
import org.basilrill.state.log.ReplicatedStateMachine;

/**
 * The state shared by all roles of a replica: identity, term and vote, log, commit index and state machine. The commit
 * index equals the index of the last applied record. Not thread safe.
 */
final class ReplicaState {
    private final ReplicaId self;
    private final DurableStore store;
    private final ReplicatedStateMachine machine;
    private final ReplicaEnvironment environment;
    private final ConsensusSettings settings;
    private final ReplicaLog log;
    private final VoteDurations voteDurations = new VoteDurations();
    private final LeaderChanges leaderChanges = new LeaderChanges();
    private final long startNanos;
    private Vote vote;
    private long commitIndex;
    private long bytesSinceSnapshot;

    ReplicaState(
            InstanceId instance,
            DurableStore store,
            ReplicatedStateMachine machine,
            ReplicaEnvironment environment,
            ConsensusSettings settings,
            long appliedIndex) {
        this.self = new ReplicaId(instance, store.incarnation());
        this.store = store;
        this.machine = machine;
        this.environment = environment;
        this.settings = settings;
        this.log = new ReplicaLog(store, settings.retainedEntries());
        this.startNanos = environment.clock().nanos();
        this.vote = store.vote();
        this.commitIndex = appliedIndex;
        log.snapshot().filter(snapshot -> snapshot.lastIndex() > appliedIndex).ifPresent(snapshot -> {
            machine.restore(snapshot.state());
            commitIndex = snapshot.lastIndex();
        });
        if (commitIndex > log.lastIndex()) {
            throw new BasilrillException(
                    ErrorCode.LOG_CORRUPT,
                    String.format(
                            "the store ends at record %d, before applied record %d", log.lastIndex(), commitIndex));
        }
    }

    ReplicaId self() {
        return self;
    }

    ConsensusSettings settings() {
        return settings;
    }

    ReplicaEnvironment environment() {
        return environment;
    }

    ReplicaLog log() {
        return log;
    }

    /** Returns nanoseconds since this replica started, as the clock itself may be negative. */
    long now() {
        return environment.clock().nanos() - startNanos;
    }

    long term() {
        return vote.term();
    }

    /** Records that the current term has a leader. */
    void recordLeader() {
        leaderChanges.recordLeader(term(), now());
    }

    /**
     * Returns the maximum election timeout in nanoseconds, extended after frequent leader changes and on a slow disk. A
     * leader without contact with a majority for this long steps down.
     */
    long scaledMaximumElectionTimeout() {
        long scaled = leaderChanges.timeoutFactor(now())
                * settings.maximumElectionTimeout().toNanos();
        // Twice the extension of the minimum: candidates need a range of times in which one can win undisturbed.
        return scaled + 2 * slowDiskExtension();
    }

    /**
     * Returns a random election timeout in nanoseconds; the randomness avoids simultaneous candidates. On a slow disk
     * it is extended by the time that the writes of an election take.
     */
    long electionTimeout() {
        long factor = leaderChanges.timeoutFactor(now());
        long minimum = factor * settings.minimumElectionTimeout().toNanos();
        return environment.random().nextLong(minimum + slowDiskExtension(), scaledMaximumElectionTimeout() + 1);
    }

    private long slowDiskExtension() {
        return voteDurations.extension(settings.minimumElectionTimeout().toNanos());
    }

    Vote vote() {
        return vote;
    }

    long commitIndex() {
        return commitIndex;
    }

    boolean isVoter() {
        return log.members().contains(self);
    }

    /** Enters a later term without a vote. */
    void adoptTerm(long term) {
        if (term > vote.term()) {
            saveVote(new Vote(term, Optional.empty()));
        }
    }

    /** Saves a vote; it is on disk when the method returns. */
    void voteFor(long term, ReplicaId candidate) {
        saveVote(new Vote(term, Optional.of(candidate.toString())));
    }

    boolean mayVoteFor(ReplicaId candidate) {
        return vote.votedFor().map(candidate.toString()::equals).orElse(true);
    }

    void send(ReplicaId recipient, ConsensusMessage message) {
        environment
                .sender()
                .send(recipient.instance(), new AddressedMessage(self.incarnation(), recipient.incarnation(), message));
    }

    void sendToAnyIncarnation(InstanceId recipient, ConsensusMessage message) {
        environment
                .sender()
                .send(recipient, new AddressedMessage(self.incarnation(), AddressedMessage.ANY_INCARNATION, message));
    }

    void report(LogEvent event, String detail) {
        environment.events().event(event, self.instance() + ": " + detail);
    }

    /**
     * Applies the records up to the index, which must be committed, and takes snapshots when due.
     *
     * @param results receives the index and the result of each command
     */
    void commitTo(long index, BiConsumer<Long, byte[]> results) {
        while (commitIndex < index) {
            LogRecord next = log.get(commitIndex + 1);
            byte[] result = next.kind() == RecordKind.COMMAND ? machine.apply(next.index(), next.payload()) : null;
            commitIndex = next.index();
            bytesSinceSnapshot += next.payload().length;
            if (result != null) {
                results.accept(next.index(), result);
            }
            if (next.kind() == RecordKind.MEMBERS) {
                report(LogEvent.MEMBERS_CHANGED, "committed " + MemberSet.decode(next.payload()));
            }
            snapshotIfDue();
        }
    }

    /** Replaces log and state by a snapshot from the leader. The snapshot must be ahead of the commit index. */
    void install(Snapshot snapshot) {
        if (snapshot.lastIndex() <= commitIndex) {
            throw new BasilrillException(
                    ErrorCode.INTERNAL,
                    String.format("snapshot %d is behind commit index %d", snapshot.lastIndex(), commitIndex));
        }
        log.install(snapshot);
        machine.restore(snapshot.state());
        commitIndex = snapshot.lastIndex();
        bytesSinceSnapshot = 0;
        report(LogEvent.SNAPSHOT_INSTALLED, "covers index " + snapshot.lastIndex());
    }

    private void snapshotIfDue() {
        long covered = log.snapshot().map(Snapshot::lastIndex).orElse(0L);
        boolean due =
                commitIndex - covered >= settings.snapshotEntries() || bytesSinceSnapshot >= settings.snapshotBytes();
        if (!due) {
            return;
        }
        Snapshot taken = log.saveSnapshot(commitIndex, machine.snapshot());
        bytesSinceSnapshot = 0;
        report(
                LogEvent.SNAPSHOT_TAKEN,
                String.format("covers index %d, %d bytes", taken.lastIndex(), taken.state().length));
    }

    private void saveVote(Vote saved) {
        long begin = now();
        store.saveVote(saved);
        vote = saved;
        voteDurations.record(now() - begin);
    }
}
