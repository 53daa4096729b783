namespace java org.basilrill.thrift.membership

struct LoadedModelFact {
  1: required string model
  2: required i32 version
  3: required i64 memoryBytes
  4: required bool ready
}

struct InstanceFact {
  1: required string dataCentre
  2: required string callerAddress
  3: required string peerAddress
  4: required bool draining
  5: required bool current
  6: required i64 revision
  /** Whether the instance has a replica of the control log. */
  7: optional bool replica
  /** Address at which the instance carries exchanges with targets for others; absent if it does not. */
  8: optional string relayAddress
  /** Token that requests to the relay address must carry; present if and only if the address is. */
  9: optional string relayToken
  /** Whether the instance has lost its own paths to most targets. */
  10: optional bool cutFromTargets
  /** Whether the instance passes messages on for others whose links are down. */
  11: optional bool forwardsMessages
}

struct InstanceLoadFact {
  1: required i32 requestsInFlight
}

struct TargetFact {
  1: required string target
  2: required i64 incarnation
  3: required i64 sequence
  4: required string host
  5: required i32 port
  6: required string dataCentre
  7: optional string serviceName
  8: required i64 timeToLiveMillis
  9: required i64 memoryBytes
  10: required list<LoadedModelFact> contents
  11: required i32 roles
  12: required i32 slots
  13: required bool enforcesFencing
  14: required bool leaving
  /** Absent if the target announces none. */
  15: optional string softwareVersion
  /** Time until the target is warm when the fact was published; absent if it is not cold. */
  16: optional i64 coldRemainingMillis
}

struct TargetLoadFact {
  1: required string target
  2: required i32 running
  3: required i32 waiting
}

/** A target that no longer announces itself to the owner of the item. */
struct TargetGoneFact {
  1: required string target
}

/** A request that must not run again, because too many targets crashed while they ran it. */
struct BlockedRequestFact {
  1: required string fingerprint
}

/** A model or adapter that was loaded on a target, or evicted from it, by an order of the owner of the item. */
struct TargetContentFact {
  1: required string target
  2: required i64 incarnation
  3: required string model
  4: required bool present
}

/** A target that refused a connection, so that it may start again with other software before it announces itself. */
struct RestartSuspicion {
  1: optional string target
  2: optional i64 incarnation
  /** Time for which the announced version of the incarnation does not count. */
  3: optional i64 validMillis
}

/** All targets that the owner of the item suspects to have ended. */
struct RestartSuspicionsFact {
  1: optional list<RestartSuspicion> suspicions
}

/** The highest level of control records that the owner of the item understands. */
struct FormatLevelFact {
  1: required i32 level
}

union FactPayload {
  1: InstanceFact instance
  2: InstanceLoadFact instanceLoad
  3: TargetFact target
  4: TargetLoadFact targetLoad
  5: TargetGoneFact targetGone
  6: BlockedRequestFact blockedRequest
  7: TargetContentFact targetContent
  8: RestartSuspicionsFact restartSuspicions
  9: FormatLevelFact formatLevel
}

struct Item {
  1: required string key
  2: required i64 version
  3: required FactPayload payload
}

struct OwnerDelta {
  1: required string owner
  2: required i64 incarnation
  3: required i64 fromVersion
  4: required i64 toVersion
  5: required list<Item> items
  6: required i64 ageMillis
}

struct DigestEntry {
  1: required string owner
  2: required i64 incarnation
  3: required i64 version
}

/**
 * Contains the versions that the sender has, and changes that the receiver lacks. With question, the receiver responds
 * with its own digest.
 */
struct GossipMessage {
  1: optional list<DigestEntry> digest
  2: required list<OwnerDelta> deltas
  3: required bool question
}
