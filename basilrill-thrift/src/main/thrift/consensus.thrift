namespace java org.basilrill.thrift.consensus

/** Requests a vote. With preVote, only queries whether the recipient would grant it, which does not change its term. */
struct VoteRequest {
  1: required i64 term
  2: required i64 lastIndex
  3: required i64 lastTerm
  4: required bool preVote
  /** Whether the leader handed its leadership to the sender; the vote then need not wait until the leader times out. */
  5: optional bool handedOver = false
}

struct VoteAnswer {
  1: required i64 term
  2: required bool preVote
  3: required bool granted
}

/** One entry of the control log. */
struct Entry {
  1: required i64 index
  2: required i64 term
  /** 1: command; 2: member set; 3: no operation. */
  3: required i8 kind
  4: required binary payload
}

struct AppendRequest {
  1: required i64 term
  2: required i64 previousIndex
  3: required i64 previousTerm
  4: required i64 commitIndex
  /** Number of the quorum round; echoed in the response to confirm linearizable reads. */
  5: required i64 round
  6: required list<Entry> entries
}

/** Response to an append request, or to the last chunk of a snapshot. */
struct AppendAnswer {
  1: required i64 term
  2: required bool matched
  /** Last index known to match; after a mismatch, the index after which the leader continues. */
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

/** Response to a chunk that does not complete the snapshot. */
struct SnapshotAnswer {
  1: required i64 term
  2: required i64 lastIndex
  /** Offset of the next chunk to send. */
  3: required i64 nextOffset
  4: required i64 round
}

/** Queries whether the store of a founding replica is empty. With grant, requests to reserve it for the sender. */
struct FoundRequest {
  1: required i64 round
  2: required bool grant
}

struct FoundAnswer {
  1: required i64 round
  /** 1: empty; 2: reserved for the sender; 3: in use. */
  2: required i8 state
}

/** Requests that the leader adds the sender as a learner. */
struct JoinRequest {
}

/** Requests that a follower whose log is complete starts an election immediately. */
struct TimeoutNow {
  /** Term of the leader that hands over its leadership. */
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
  /** Incarnation of the recipient that the message is meant for; 0 for any. */
  2: required i64 recipientIncarnation
  3: required Body body
}
