namespace java org.basilrill.thrift.envelope

/** Carries one message between two instances. */
struct Envelope {
  /** Name of the sending instance. */
  1: required string sender
  /** IP address and port where the sender receives messages, so that a receiver that does not know it can respond. */
  4: required string senderAddress
  /** Number of the subject of the payload. */
  2: required i16 subject
  /** Encoded message of the subject. */
  3: required binary payload
  /** Instance that the receiver passes the message on to; absent if the receiver is the recipient. */
  5: optional string recipient
  /** Instance that passed the message on; absent if the sender sent it itself. */
  6: optional string forwarder
  /** Whether the sender reads payloads that are deflated; earlier builds do not. */
  7: optional bool acceptsDeflated
  /** Whether the payload is deflated (RFC 1951 with the header of RFC 1950). */
  8: optional bool deflated
}

/** Receives messages from other instances. */
service PeerService {
  /** Delivers messages. The reply acknowledges their receipt, not that they were processed. */
  void deliver(1: list<Envelope> envelopes)
}
