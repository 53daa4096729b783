namespace java org.basilrill.thrift.budget

/** Asks the bucket owner for one grant. */
struct GrantAsk {
  /** Number of the ask; unique per account and incarnation of the requester. */
  1: required i64 ask
  /** Smallest grant that is of use, in tokens. */
  2: required i64 minimum
  /** Tokens needed by the waiting requests. */
  3: required i64 need
  /** Tokens wanted beyond the need. */
  4: required i64 lookAhead
}

/** Reports the state of one grant at its requester. */
struct GrantReport {
  1: required i64 ask
  /** Unspent tokens. */
  2: required i64 remaining
  /** Whether the requester will spend no more of it. */
  3: required bool closed
}

/** Gives back tokens that were charged and not used. */
struct TokenRefund {
  /** Time of the grant the charge was paid from, on the clock of the owner. */
  1: required i64 grantedAtNanos
  2: required i64 tokens
  /** Number of the ask whose grant paid the charge. */
  3: required i64 ask
}

/** Everything a requester tells the owner of a bucket. */
struct RequesterMessage {
  1: required string account
  2: required i64 epoch
  /** Random number of the requesting process. */
  3: required i64 incarnation
  /** Number of the message; unique per account and incarnation. */
  4: required i64 sequence
  5: optional GrantAsk ask
  6: optional list<GrantReport> reports
  7: optional list<TokenRefund> refunds
}

/** Answers an ask. */
struct GrantAnswer {
  1: required string account
  2: required i64 epoch
  3: required i64 incarnation
  4: required i64 ask
  /** Tokens granted; 0 if the minimum is not there. */
  5: required i64 tokens
  6: required i64 grantedAtNanos
  /** Time until the minimum is there, if it is not. */
  7: optional i64 retryAfterNanos
}

/** Asks a requester to return what it does not need at once. */
struct GrantRecall {
  1: required string account
  2: required i64 epoch
}

/** Announces a committed planned handover. */
struct BucketHandover {
  1: required string account
  2: required string owner
  3: required i64 session
  4: required i64 epoch
  /** Level handed over, in tokens. */
  5: required i64 level
  /** Unspent tokens of the grants of earlier epochs, at most. */
  6: required i64 outstanding
}

union BudgetMessage {
  1: RequesterMessage requester
  2: GrantAnswer answer
  3: GrantRecall recall
  4: BucketHandover handover
}
