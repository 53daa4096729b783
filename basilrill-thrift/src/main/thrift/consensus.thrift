namespace java org.basilrill.thrift.consensus

/** Asks for a vote, or with preVote for the promise that a vote would be given. */
struct VoteRequest {
  1: required i64 term
  2: required i64 lastIndex
  3: required i64 lastTerm
  4: required bool preVote
  /** Whether the leader handed its leadership to the sender, so that the vote need not wait for its silence. */
  5: optional bool handedOver = false
}

struct VoteAnswer {
  1: required i64 term
  2: required bool preVote
  3: required bool granted
}

/** One record of the log. */
struct Entry {
  1: required i64 index
  2: required i64 term
  /** 1 command, 2 member set, 3 no operation. */
  3: required i8 kind
  4: required binary payload
}

struct AppendRequest {
  1: required i64 term
  2: required i64 previousIndex
  3: required i64 previousTerm
  4: required i64 commitIndex
  /** Number of the quorum round; echoed in the answer to confirm reads. */
  5: required i64 round
  6: required list<Entry> entries
}

/** Answers an append or a completed snapshot. */
struct AppendAnswer {
  1: required i64 term
  2: required bool matched
  /** Last index known to match; after a mismatch, the index after which to try again. */
  3: required i64 index
  4: required i64 round
}

struct SnapshotChunk {
  1: required i64 term
  2: required i64 lastIndex
  3: required i64 lastTerm
  4: required binary members
  5: required i64 offset
  6: required i64 totalBytes
  7: required binary data
  8: required i64 round
}

/** Answers a chunk that does not complete the snapshot. */
struct SnapshotAnswer {
  1: required i64 term
  2: required i64 lastIndex
  /** Offset of the next chunk wanted. */
  3: required i64 nextOffset
  4: required i64 round
}

/** Asks a founding replica whether its store is empty, or with grant to reserve it for the sender's cluster. */
struct FoundRequest {
  1: required i64 round
  2: required bool grant
}

struct FoundAnswer {
  1: required i64 round
  /** 1 empty, 2 reserved for the sender, 3 in use. */
  2: required i8 state
}

/** Asks the leader to accept the sender as a learner. */
struct JoinRequest {
}

/** Tells a follower that holds the whole log to stand for election at once. */
struct TimeoutNow {
  /** Term of the leader that hands over. */
  1: required i64 term
}

union Body {
  1: VoteRequest voteRequest
  2: VoteAnswer voteAnswer
  3: AppendRequest appendRequest
  4: AppendAnswer appendAnswer
  5: SnapshotChunk snapshotChunk
  6: SnapshotAnswer snapshotAnswer
  7: FoundRequest foundRequest
  8: FoundAnswer foundAnswer
  9: JoinRequest joinRequest
  10: TimeoutNow timeoutNow
}

/** One message between replicas of the control log. */
struct ConsensusEnvelope {
  1: required i64 senderIncarnation
  /** Incarnation the message is meant for; 0 for any. */
  2: required i64 recipientIncarnation
  3: required Body body
}
