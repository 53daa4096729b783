namespace java org.basilrill.thrift.control

// Commands of the control log.

struct ReplaceRulesCommand {
  1: required i64 expectedRevision
  2: required string text
  3: required string operatorName
}

/** Installs a revision of the rules if its number is the highest so far. */
struct InstallRulesCommand {
  1: required i64 revision
  2: required string text
  3: required string operatorName
}

struct ClaimOrderCommand {
  1: required string account
  2: required string idempotencyKey
  3: required string fingerprint
  4: required string attempt
  5: required string instance
  6: required i64 sessionId
  7: required i64 nowMillis
}

struct AnswerBody {
  1: required i32 status
  2: required string contentType
  3: required binary body
  4: required bool complete
}

/** Outcome of a request. Stored by number, so numbers never change. */
enum RequestOutcome {
  NOT_RUN = 1
  MAY_HAVE_RUN = 2
  RAN = 3
}

struct FinishOrderCommand {
  1: required string account
  2: required string idempotencyKey
  3: required string attempt
  4: required RequestOutcome outcome
  5: optional AnswerBody answer
}

struct AssignBucketCommand {
  1: required string account
  2: required string owner
  3: required i64 sessionId
  4: required i64 expectedEpoch
  5: required i64 handedOverTokens
}

/** Kind of a target order. Stored by number, so numbers never change. */
enum TargetOrderKind {
  LOAD_MODEL = 1
  UNLOAD_MODEL = 2
  LOAD_ADAPTER = 3
  UNLOAD_ADAPTER = 4
  CHANGE_ROLE = 5
}

/** Outcome of a target order. Stored by number, so numbers never change. */
enum TargetOrderOutcome {
  DONE = 1
  FAILED = 2
  REFUSED_STALE = 3
}

struct IntendOrderCommand {
  1: required string target
  2: required i64 targetIncarnation
  3: required string orderId
  4: required TargetOrderKind kind
  5: required string model
  6: required i32 version
  7: required i64 bytes
}

struct ResolveOrderCommand {
  1: required string orderId
  2: required TargetOrderOutcome outcome
}

struct LoadedModelReport {
  1: required string model
  2: required i32 version
  3: required i64 memoryBytes
  4: required bool ready
}

struct ObserveTargetCommand {
  1: required string target
  2: required i64 incarnation
  3: required i64 memoryBytes
  4: required list<LoadedModelReport> contents
  5: required bool enforcesFencing
}

/** A part of a prompt that several requests may contain. */
struct PromptPart {
  1: required string scope
  2: required i64 value
}

struct ReportCrashCommand {
  1: required string fingerprint
  2: required string target
  3: required i64 targetIncarnation
  4: required i64 nowMillis
  /** Absent from instances that do not report prompt parts. */
  5: optional list<PromptPart> promptParts
  /** Time since the request was sent. */
  6: optional i64 runningMillis
}

struct PartAnswer {
  1: required PromptPart part
  2: required i64 ageMillis
}

/** Reports responses that began, each as evidence that a prompt part crashes no targets. */
struct ReportPartAnswersCommand {
  1: required list<PartAnswer> answers
  2: required i64 nowMillis
}

/** Requests permission to send one request with a blocked prompt part. */
struct RequestPartTrialCommand {
  1: required PromptPart part
  2: required i64 nowMillis
}

/** Releases a blocked prompt part by order of an operator. */
struct ReleasePartCommand {
  1: required PromptPart part
}

/** What may crash targets. Kinds are only added; a build that does not know a kind reads an unset union. */
union Suspect {
  1: PromptPart part
  /** SHA-256 of a whole request. */
  2: string request
}

/** A request that was lost because its target crashed. */
struct LostRequest {
  1: required string target
  2: required i64 targetIncarnation
  3: optional string softwareVersion
  /** Time since the loss. */
  4: required i64 ageMillis
  /** Time from the sending of the request to the loss. */
  5: required i64 runningMillis
  6: required list<Suspect> suspects
}

/** The last response to a request with a suspect. */
struct SuspectAnswer {
  1: required Suspect suspect
  /** Time since the request was sent, or since the response to a prompt part began. */
  2: required i64 ageMillis
  3: optional string softwareVersion
}

/** Reports evidence for and against what may crash targets. */
struct ReportCrashEvidenceCommand {
  1: required list<LostRequest> lost
  2: required list<SuspectAnswer> answers
  3: required i64 nowMillis
}

/** Requests permission to send one request with a blocked suspect. */
struct RequestTrialCommand {
  1: required Suspect suspect
  2: required i64 nowMillis
}

/** Releases a suspect by order of an operator. */
struct ReleaseSuspectCommand {
  1: required Suspect suspect
}

/** Registers a software version of a service before a stream begins at it. */
struct RegisterVersionCommand {
  1: required string serviceName
  2: required string version
}

/** Records that no target of a service has a software version any more. */
struct RetireVersionCommand {
  1: required string serviceName
  2: required string version
  3: required i64 nowMillis
}

struct StreamRecord {
  /** Id of the request that brought the first event. */
  1: required string requestId
  2: required string serviceName
  3: required string version
}

/** Records which software versions began streams. */
struct RecordStreamsCommand {
  1: required list<StreamRecord> streams
  2: required i64 nowMillis
}

/** Finds the software version that began a stream. */
struct FindStreamCommand {
  1: optional string firstRequestId
  2: required string serviceName
  /** Versions that were retired before this time cannot have begun the stream. */
  3: required i64 windowMillis
  4: required i64 nowMillis
}

struct RegisterSessionCommand {
  1: required string instance
  2: required i64 sessionId
}

struct ExpireSessionCommand {
  1: required string instance
  2: required i64 sessionId
}

/** Begins or ends the evacuation of a data centre. */
struct EvacuationCommand {
  1: required string dataCentre
  /** Random number of the operator's call, by which a repeated command is recognised. */
  2: required i64 attempt
}

union CommandMessage {
  1: ReplaceRulesCommand replaceRules
  2: ClaimOrderCommand claimOrder
  3: FinishOrderCommand finishOrder
  4: AssignBucketCommand assignBucket
  5: IntendOrderCommand intendOrder
  6: ResolveOrderCommand resolveOrder
  7: ObserveTargetCommand observeTarget
  8: ReportCrashCommand reportCrash
  9: RegisterSessionCommand registerSession
  10: ExpireSessionCommand expireSession
  11: InstallRulesCommand installRules
  12: ReportPartAnswersCommand reportPartAnswers
  13: RequestPartTrialCommand requestPartTrial
  14: ReleasePartCommand releasePart
  15: RegisterVersionCommand registerVersion
  16: RetireVersionCommand retireVersion
  17: RecordStreamsCommand recordStreams
  18: FindStreamCommand findStream
  19: EvacuationCommand beginEvacuation
  20: EvacuationCommand endEvacuation
  21: ReportCrashEvidenceCommand reportCrashEvidence
  22: RequestTrialCommand requestTrial
  23: ReleaseSuspectCommand releaseSuspect
}

// Results of commands.

struct DoneResult {}

struct RulesAcceptedResult {
  1: required i64 revision
}

struct RulesConflictResult {
  1: required i64 currentRevision
  2: required string winner
}

struct OrderGrantedResult {}

struct OrderRunningResult {
  1: required string holder
}

struct OrderFinishedResult {
  1: required RequestOutcome outcome
  2: optional AnswerBody answer
}

struct BucketHeldResult {
  1: required string owner
  2: required i64 epoch
}

struct OrderReservedResult {
  1: required i64 fencingNumber
}

struct CrashCountResult {
  1: required i32 targets
  /** The reported prompt parts that are blocked. */
  2: optional list<PromptPart> blockedParts
}

struct StreamVersionResult {
  /** Absent if the version that began the stream is unknown. */
  1: optional string version
}

/** The blocked suspects because of which one reported request is refused. */
struct LossVerdict {
  1: required list<Suspect> refusing
}

/** One verdict for each reported request, in the order of the report. */
struct CrashVerdictsResult {
  1: required list<LossVerdict> verdicts
}

struct RefusedResult {
  /** Name of the error code. */
  1: required string code
  2: required string detail
}

union ResultMessage {
  1: DoneResult done
  2: RulesAcceptedResult rulesAccepted
  3: RulesConflictResult rulesConflict
  4: OrderGrantedResult orderGranted
  5: OrderRunningResult orderRunning
  6: OrderFinishedResult orderFinished
  7: BucketHeldResult bucketHeld
  8: OrderReservedResult orderReserved
  9: CrashCountResult crashCount
  10: RefusedResult refused
  11: StreamVersionResult streamVersion
  12: CrashVerdictsResult crashVerdicts
}

// State of the state machine. Lists are sorted so that equal states have equal encodings.

struct AcceptedRulesState {
  1: required i64 revision
  2: required string textHash
  3: required string operatorName
}

struct RulesState {
  1: required i64 revision
  2: required string text
  3: required list<AcceptedRulesState> history
}

/** Phase of the claim of an order. Stored by number, so numbers never change. */
enum ClaimPhase {
  RUNNING = 1
  FINISHED = 2
  UNKNOWN = 3
  RELEASED = 4
}

struct ClaimState {
  1: required string account
  2: required string idempotencyKey
  3: required string fingerprint
  4: required ClaimPhase phase
  5: required string attempt
  6: required string instance
  7: required i64 sessionId
  8: required i64 changedMillis
  9: required list<string> releasedAttempts
  10: optional RequestOutcome outcome
  11: optional AnswerBody answer
}

struct BucketState {
  1: required string account
  2: required string owner
  3: required i64 sessionId
  4: required i64 epoch
  5: required i64 startTokens
}

struct SessionState {
  1: required string instance
  2: required i64 sessionId
}

struct CrashState {
  1: required string fingerprint
  2: required list<string> targets
  3: required i64 changedMillis
}

struct PartCrash {
  1: required i64 atMillis
  2: required string target
  3: required i64 targetIncarnation
  /** Whether the request was sent after the crash before this one. */
  4: required bool independent
  /** Software version of the target; absent if it announces none. */
  5: optional string softwareVersion
}

struct PartSuspectState {
  1: required PromptPart part
  2: required list<PartCrash> crashes
  3: required i64 changedMillis
  4: required i64 trialMillis
  5: required i32 trials
}

struct RequestSuspectState {
  /** SHA-256 of the request. */
  1: required string request
  2: required list<PartCrash> crashes
  3: required i64 changedMillis
  4: required i64 trialMillis
  5: required i32 trials
}

/** A trial whose result is not known yet. */
struct OpenTrialState {
  1: required Suspect suspect
  2: required i64 startMillis
}

struct VersionState {
  1: required string serviceName
  2: required string version
  /** The largest number while the version is in service. */
  3: required i64 retiredMillis
}

struct StreamState {
  1: required string requestId
  2: required string serviceName
  3: required string version
  4: required i64 recordedMillis
}

struct HoldingState {
  1: required string model
  2: required i32 version
  3: required i64 bytes
}

struct LedgerRowState {
  1: required string target
  2: required i64 incarnation
  3: required i64 capacityBytes
  4: required bool enforcesFencing
  5: required list<HoldingState> holdings
}

struct TargetOrderState {
  1: required string orderId
  2: required string target
  3: required i64 targetIncarnation
  4: required i64 fencingNumber
  5: required TargetOrderKind kind
  6: required string model
  7: required i32 version
  8: required i64 bytes
  9: optional TargetOrderOutcome outcome
}

struct LedgerState {
  1: required list<LedgerRowState> rows
  2: required list<TargetOrderState> openOrders
  3: required list<TargetOrderState> resolvedOrders
}

struct EvacuationState {
  1: required string dataCentre
  /** Log index of the command that began the evacuation, or that ended it if it has ended. */
  2: required i64 index
}

struct MachineState {
  1: required i64 lastIndex
  2: required i64 viewIndex
  3: required i64 nowMillis
  4: required RulesState rules
  5: required list<ClaimState> claims
  6: required list<BucketState> buckets
  7: required list<SessionState> openSessions
  8: required list<SessionState> endedSessions
  9: required list<CrashState> crashes
  10: required LedgerState ledger
  11: optional list<PartSuspectState> partSuspects
  12: optional list<VersionState> versions
  13: optional list<StreamState> streams
  14: optional list<EvacuationState> evacuations
  15: optional list<EvacuationState> endedEvacuations
  /** The commands applied last, oldest first. */
  16: optional list<EvacuationCommand> evacuationCommands
  17: optional list<RequestSuspectState> requestSuspects
  /** Set once a record of crash evidence was applied: all replicas count whole requests as suspects from then on. */
  18: optional bool countsRequestSuspects
  19: optional OpenTrialState openTrial
}

// The part of the state that every instance pulls from a replica.

struct SuspectPart {
  1: required PromptPart part
  2: required i32 crashes
  /** Time from the block until one request is permitted as a trial; absent if the part is not blocked. */
  3: optional i64 blockMillis
  /** Number of the group of parts that the crashes do not tell apart; absent if the part is not blocked. */
  4: optional i32 blockGroup
}

struct SuspectRequest {
  /** SHA-256 of the request. */
  1: required string request
  2: required i32 crashes
  /** Time from the block until one request is permitted as a trial; absent if the request is not blocked. */
  3: optional i64 blockMillis
}

struct ServiceVersions {
  1: required string serviceName
  2: required list<string> inService
  3: required bool several
}

struct ViewMessage {
  1: required i64 index
  2: required i64 rulesRevision
  /** Absent if the sender of the pull request already has this revision. */
  3: optional string rulesText
  4: required list<BucketState> buckets
  5: required list<string> blockedFingerprints
  6: required list<SessionState> sessions
  7: optional list<SuspectPart> suspectParts
  8: optional list<ServiceVersions> serviceVersions
  9: optional list<EvacuationState> evacuations
  10: optional list<EvacuationState> endedEvacuations
  /** Blocked ones are in blockedFingerprints as well, for builds that do not know this field. */
  11: optional list<SuspectRequest> suspectRequests
}

// Messages of subject CONTROL between instances.

/** Status of a request to a replica. Sent by number, so numbers never change. */
enum AnswerStatus {
  DONE = 1
  /** Nothing was proposed; the response contains the leader if it is known. */
  NOT_LEADER = 2
  /** No result is known; a submitted command may still take effect. */
  UNAVAILABLE = 3
}

struct SubmitRequest {
  1: required i64 requestId
  2: required binary command
}

struct SubmitAnswer {
  1: required i64 requestId
  2: required AnswerStatus status
  3: optional binary result
  4: optional string leader
}

struct PullRequest {
  1: required i64 requestId
  2: required i64 viewIndex
  3: required i64 rulesRevision
  /** 0 if the sender has no session. */
  4: required i64 sessionId
}

struct PullAnswer {
  1: required i64 requestId
  2: required bool sessionHeld
  /** Absent if the sender of the pull request already has the current view. */
  3: optional ViewMessage view
  4: required list<string> replicas
  5: optional string leader
}

struct ConfirmRequest {
  1: required i64 batchId
  2: required list<SessionState> sessions
}

struct ConfirmAnswer {
  1: required i64 batchId
  2: required AnswerStatus status
  3: required i64 viewIndex
  4: required list<SessionState> heldSessions
}

union ControlMessage {
  1: SubmitRequest submitRequest
  2: SubmitAnswer submitAnswer
  3: PullRequest pullRequest
  4: PullAnswer pullAnswer
  5: ConfirmRequest confirmRequest
  6: ConfirmAnswer confirmAnswer
}
