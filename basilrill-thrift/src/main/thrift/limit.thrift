namespace java org.basilrill.thrift.limit

/** What is known about the limit of one incarnation of a target. */
struct LimitObservation {
  1: required string target
  2: required i64 incarnation
  /** Requests per second; absent if a response stated none, or if the limit has ended. */
  3: optional double perSecond
  /** Time since the response. */
  4: required i64 ageMillis
  /** Time until the target is warm; absent if the limit is not that of a cold target. */
  5: optional i64 coldRemainingMillis
}

/** Permits that one instance needs for one target. */
struct PermitDemand {
  1: required LimitObservation limit
  2: required i32 waiting
  3: required bool wantsSpare
  4: required i32 priority
  5: required i64 waitedMillis
  6: required i64 lastGrant
  /** Permits returned unused since the process started. */
  7: required i64 returnedPermits
}

/** Sent by an instance to the issuer of permits. */
struct PermitReport {
  /** Random number of the reporting process. */
  1: required i64 incarnation
  /** Number of the report; increases within one incarnation. */
  2: required i64 sequence
  3: required list<PermitDemand> demands
  4: required list<LimitObservation> observations
}

/** Permits for one target. */
struct PermitGrant {
  1: required string target
  2: required i64 incarnation
  3: required i64 number
  4: required i32 permits
  /** Time until the next permit of the recipient. */
  5: required i64 waitMillis
  6: required i64 reportSequence
  /** Time between later permits of the recipient. */
  7: required i64 intervalMillis
}

/** Sent by the issuer of permits to an instance. */
struct PermitIssue {
  1: required i64 term
  2: required list<PermitGrant> grants
  3: required list<LimitObservation> limits
}

union LimitMessage {
  1: PermitReport report
  2: PermitIssue issue
}
