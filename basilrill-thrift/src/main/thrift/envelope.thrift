namespace java org.basilrill.thrift.envelope

/** Carries one message between two instances. */
struct Envelope {
  /** Name of the sending instance. */
  1: required string sender
  /** IP number and port at which the sender takes messages, so that a receiver that does not know it can answer. */
  4: required string senderAddress
  /** Number of the subject the payload belongs to. */
  2: required i16 subject
  /** Encoded message of the subject. */
  3: required binary payload
}

/** Takes messages from other instances. */
service PeerService {
  /** Hands over messages; the answer proves that the connection is alive, not that the messages were acted on. */
  void deliver(1: list<Envelope> envelopes)
}
