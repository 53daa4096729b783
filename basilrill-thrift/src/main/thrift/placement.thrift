namespace java org.basilrill.thrift.placement

/** Demand for one model at one instance. */
struct ModelDemand {
  1: required string model
  /** Tokens requested since the instance started. */
  2: required i64 tokens
  /** Requests that wait for a first copy. */
  3: required i32 waiting
}

/** Demand at one instance, for the models whose demand changed lately. */
struct DemandReport {
  /** Random number of the reporting process. */
  1: required i64 incarnation
  /** Number of the report; increases within one incarnation. */
  2: required i64 sequence
  3: required list<ModelDemand> models
}

/** Time until a model is ready. */
struct ModelReadiness {
  1: required string model
  2: required i64 untilReadyMillis
}

/** Estimates of the placement controller for the models that an instance waits for. */
struct ReadinessReport {
  1: required list<ModelReadiness> models
}

union PlacementMessage {
  1: DemandReport demand
  2: ReadinessReport readiness
}
