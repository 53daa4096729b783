namespace java org.basilrill.thrift.placement

/** Demand for one model at one instance. */
struct ModelDemand {
  1: required string model
  /** Tokens requested since the instance started. */
  2: required i64 tokens
  /** Requests that are queued until a first copy of the model is ready. */
  3: required i32 waiting
  /** Data centres in which some of the requests may be served, one list for each restriction in force. */
  4: optional list<list<string>> dataCentres
}

/** Demand at one instance, for the models whose demand changed recently. */
struct DemandReport {
  /** Random number of the reporting process. */
  1: required i64 incarnation
  /** Number of the report; increases within one incarnation. */
  2: required i64 sequence
  3: required list<ModelDemand> models
}

/** Estimated remaining time until a model is ready. */
struct ModelReadiness {
  1: required string model
  2: required i64 untilReadyMillis
}

/** Estimates of the placement controller, for the models for which an instance has queued requests. */
struct ReadinessReport {
  1: required list<ModelReadiness> models
}

union PlacementMessage {
  1: DemandReport demand
  2: ReadinessReport readiness
}
