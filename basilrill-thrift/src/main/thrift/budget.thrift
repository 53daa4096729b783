namespace java org.basilrill.thrift.budget

/** Requests one grant from the owner of the bucket. */
struct GrantAsk {
  /** Number of the grant request; unique per account and incarnation of the requester. */
  1: required i64 ask
  /** Smallest useful grant, in tokens. */
  2: required i64 minimum
  /** Tokens needed by the queued requests. */
  3: required i64 need
  /** Tokens requested in addition to the need, for requests expected soon. */
  4: required i64 lookAhead
}

/** Reports the state of one grant at its requester. */
struct GrantReport {
  /** Number of the grant request that the grant is for. */
  1: required i64 ask
  /** Unspent tokens. */
  2: required i64 remaining
  /** Whether the requester has closed the grant and will spend no more of it. */
  3: required bool closed
}

/** Refunds tokens that were charged and not used. */
struct TokenRefund {
  /** Time of the grant that the tokens were charged to, on the clock of the owner. */
  1: required i64 grantedAtNanos
  2: required i64 tokens
  /** Number of the grant request whose grant the tokens were charged to. */
  3: required i64 ask
}

/** Grant request, reports and refunds of a requester to the owner of a bucket. */
struct RequesterMessage {
  1: required string account
  /** Epoch of the bucket; increases each time an owner is assigned. */
  2: required i64 epoch
  /** Random number of the requesting process. */
  3: required i64 incarnation
  /** Number of the message; unique per account and incarnation. */
  4: required i64 sequence
  5: optional GrantAsk ask
  6: optional list<GrantReport> reports
  7: optional list<TokenRefund> refunds
}

/** Grant response of the owner. */
struct GrantAnswer {
  1: required string account
  2: required i64 epoch
  3: required i64 incarnation
  4: required i64 ask
  /** Tokens granted; 0 if the bucket contains less than the minimum. */
  5: required i64 tokens
  6: required i64 grantedAtNanos
  /** Remaining time until the bucket contains the minimum, if it contains less. */
  7: optional i64 retryAfterNanos
}

/** Requests the release of granted tokens that the requester does not need immediately. */
struct GrantRecall {
  1: required string account
  2: required i64 epoch
}

/** Announces a planned handover of a bucket that is committed in the control log. */
struct BucketHandover {
  1: required string account
  2: required string owner
  3: required i64 session
  4: required i64 epoch
  /** Level of the bucket at the handover, in tokens. */
  5: required i64 level
  /** Upper limit of the unspent tokens in grants of earlier epochs. */
  6: required i64 outstanding
}

union BudgetMessage {
  1: RequesterMessage requester
  2: GrantAnswer answer
  3: GrantRecall recall
  4: BucketHandover handover
}
