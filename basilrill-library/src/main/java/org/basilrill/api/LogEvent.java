package org.basilrill.api;

/**
 * Enumerates the log events with their numbers. Numbers are never reused. {@code docs/events.md} lists the same events;
 * a test compares the two.
 */
public enum LogEvent {
    INSTANCE_STARTED(100, "instance started"),
    INSTANCE_DRAINING(101, "instance is draining"),
    INSTANCE_STOPPED(102, "instance stopped"),
    DRAIN_LIMIT_REACHED(103, "drain limit reached with requests still running"),
    INSTANCE_NOT_CURRENT(104, "instance cannot confirm its revision and refuses new work"),
    INSTANCE_CURRENT_AGAIN(105, "instance confirmed its revision again"),
    SETTINGS_RELOADED(106, "changed settings were applied"),
    SETTINGS_REJECTED(107, "changed settings are invalid; the earlier ones stay in force"),
    KEPT_REQUESTS_STARTED(108, "requests queued until the instance received its rules were started"),
    PROCESS_ENDED(109, "process ends after an error of the virtual machine"),
    PEER_CONNECTION_FAILED(120, "connection to another instance failed"),
    MESSAGE_REJECTED(121, "message from another instance could not be decoded"),
    PEER_LINK_DOWN(122, "messages to another instance are not acknowledged and go by way of others"),
    PEER_LINK_RETURNED(123, "messages to another instance are acknowledged again"),
    INTERNAL_FAILURE(199, "unexpected failure"),
    LEADER_ELECTED(200, "replica became leader of the control log"),
    LEADERSHIP_LOST(201, "replica lost the leadership of the control log"),
    LEADER_WITHOUT_QUORUM(202, "leader lost contact with a majority of the replicas and steps down"),
    CLUSTER_FOUNDED(203, "first member set of the control log written"),
    FOUNDING_REFUSED(204, "founding refused because a founding replica has a store that is not empty"),
    LEARNER_ACCEPTED(205, "replica joined the control log as a learner"),
    MEMBERS_CHANGED(206, "member set of the control log changed"),
    SNAPSHOT_TAKEN(207, "snapshot of the control log taken"),
    SNAPSHOT_INSTALLED(208, "snapshot of the control log received from the leader and installed"),
    LOG_TAIL_TRUNCATED(209, "incomplete last write of the control log removed"),
    LOG_REBUILT(210, "damaged control log set aside; the replica rejoins under a new incarnation"),
    REPLICA_FAILED(211, "replica of the control log takes no part because of a failure other than its disk's"),
    FOUNDING_PERMIT_NOT_KEPT(212, "permit to found a cluster could not be written to the data folder"),
    VOTER_REMOVED(213, "voter removed from the control log because it is unresponsive or was replaced"),
    REPLICA_SUSPENDED(214, "replica of the control log takes no part because its disk cannot be written"),
    REPLICA_RESUMED(215, "replica of the control log takes part again"),
    CONSENSUS_MESSAGE_DROPPED(216, "message of another replica of the control log is not valid and was dropped"),
    CONTROL_LOG_WITHOUT_LEADER(217, "replica knows no leader of the control log, so no change is acknowledged"),
    CONTROL_LOG_HAS_LEADER(218, "replica knows a leader of the control log again"),
    RECORDS_SENT_AGAIN(219, "records of the control log were sent again, as their follower has not responded"),
    SESSION_OPENED(250, "session with the control log opened"),
    SESSION_LOST(251, "session with the control log lost"),
    SESSION_EXPIRED(252, "session of an unresponsive instance expired"),
    SESSION_EXPIRY_FAILED(253, "session of an unresponsive instance could not be expired"),
    VIEW_LISTENER_FAILED(254, "listener for control views failed"),
    RULES_IN_FORCE(255, "new revision of the rules is in force"),
    COMMAND_DEADLINE_PASSED(256, "control log returned no result of a command within its deadline"),
    RULES_RECEIVED(257, "new revision of the rules was received from a replica of the control log"),
    TARGET_LOST(300, "target was lost during a request"),
    CRASH_REPORT_FAILED(301, "loss of a target could not be recorded"),
    ORDER_NOT_RECORDED(302, "outcome of an order could not be recorded"),
    ANSWER_CROSSED(303, "response of a target does not carry the ID of the request"),
    REQUESTS_CANCELLED(304, "running requests of a revoked key were cancelled"),
    SUSPECT_BLOCKED(305, "request or prompt part is blocked, as targets crashed whenever they ran it"),
    SUSPECT_RELEASED(306, "request or prompt part is no longer blocked"),
    SUSPECT_TRIED(307, "one request that is blocked, or contains a blocked prompt part, is sent as a trial"),
    SOFTWARE_VERSIONS_CHANGED(308, "software versions of targets were registered or retired"),
    STREAMS_NOT_RECORDED(309, "versions that began streams could not be recorded"),
    HTTP_LISTENING(310, "listening for callers"),
    HTTP_STOPPED(311, "stopped listening for callers"),
    HTTP_CONNECTION_FAILED(312, "connection of a caller or target failed"),
    HTTP_REQUEST_MALFORMED(313, "request is not valid HTTP"),
    ANNOUNCEMENT_REJECTED(314, "announcement of a target could not be decoded"),
    RULES_REPLACED(320, "rules were replaced"),
    OPERATOR_REFUSED(321, "request of an operator was refused"),
    REQUEST_ANSWERED(330, "complete response sent to the caller"),
    REQUEST_FAILED(331, "request failed"),
    REQUEST_ABANDONED(332, "caller disconnected"),
    REQUEST_REFUSED(333, "request refused before it was planned"),
    BUCKET_ACQUIRED(350, "instance owns the token bucket of a client account"),
    BUCKET_RELEASED(351, "instance no longer owns the token bucket of a client account"),
    BUCKET_HANDED_OVER(352, "token bucket was handed over"),
    BUCKET_CLAIM_FAILED(353, "claim or handover of a token bucket failed and is repeated"),
    TARGET_EJECTED(400, "target is ejected after failures"),
    TARGET_RESTORED(401, "target is used again after a successful probe"),
    DISPATCH_CALLBACK_FAILED(402, "a callback of a dispatched request failed"),
    TARGET_LIMIT_STATED(410, "target states the requests per second that it accepts"),
    TARGET_LIMIT_ENDED(411, "target no longer limits its requests per second"),
    TARGET_PERMITS_ISSUED(412, "replica issues the permits for a target with a limited request rate"),
    TARGET_PERMITS_ENDED(413, "replica issues no more permits, as the target no longer limits its requests"),
    TARGET_STATED_LEAVING(414, "target states in a response that it is leaving"),
    SERVICE_FRAGILE(415, "targets of a service state that they fail if they refuse more than a few requests a second"),
    SERVICE_NO_LONGER_FRAGILE(416, "targets of a service no longer state that they fail if they refuse many requests"),
    TARGET_PATH_LOST(420, "instance lost its own path to a target that another instance reaches"),
    TARGET_PATH_RETURNED(421, "instance reaches a target by its own path again"),
    RELAY_REQUEST_REJECTED(422, "request to carry an exchange for another instance was rejected"),
    RELAYED_EXCHANGE_FAILED(423, "exchange carried for another instance failed"),
    LEADER_CUT_FROM_TARGETS(424, "leader of the control log does not reach the targets and hands the leadership over"),
    TARGET_VERSION_UNCONFIRMED(425, "target refused a connection and may start again with other software"),
    STRAY_BYTES(428, "target sent bytes that belong to no request"),
    TARGET_RESTART_REPORTED(430, "another instance reported that a target refused a connection"),
    TARGET_RESTART_DISPROVED(431, "target that refused a connection has not started again"),
    TARGET_RESTART_MAY_BE_MISSED(432, "target may have ended and started again unseen"),
    TARGET_COLD(433, "target is cold; requests to it need permits until it is warm"),
    TARGET_WARM(434, "target that was cold is warm"),
    COLD_STATEMENT_MALFORMED(435, "target states in a form that cannot be read how long it is cold"),
    TARGETS_ASSUMED_COLD(436, "targets of a data centre count as cold, as its evacuation has ended"),
    TARGET_PACED(437, "target has started or was ejected and gets few requests until its responses are good"),
    TARGET_PACE_REDUCED(438, "target that is paced responds slowly, refuses or fails, and gets fewer requests"),
    TARGET_PACE_ENDED(439, "target is no longer paced"),
    STATED_PACE_IGNORED(440, "target states a pace that is not a number from 1 to 9,999, which is ignored"),
    RESIDENCY_REFUSED(441, "request was refused because no target in its allowed regions serves it"),
    PLACEMENT_STARTED(450, "replica controls the placement"),
    PLACEMENT_STOPPED(451, "replica no longer controls the placement"),
    TARGET_ORDER_INTENDED(452, "target order committed"),
    TARGET_ORDER_RESOLVED(453, "target order has an outcome"),
    TARGET_ORDER_REFUSED(454, "control log refused a target order"),
    UNLOAD_HELD_BACK(455, "unload postponed because no other copy is ready"),
    PLACEMENT_STEP_FAILED(456, "placement step failed and is repeated"),
    ENGINE_UNANSWERED(457, "engine sent no response to a report request or a target order"),
    MODELS_UNSERVED(458, "the models in demand without a ready copy have changed"),
    EVACUATION_IN_FORCE(480, "evacuation of a data centre is in force at this instance"),
    EVACUATION_ENDED(481, "evacuation of a data centre has ended at this instance"),
    EVACUATION_REQUESTED(482, "operator's call to begin or end an evacuation is committed"),
    EVACUATION_REFUSED(483, "operator's call to begin or end an evacuation was refused"),
    LEADERSHIP_HANDOVER(540, "leader hands the leadership of the control log to another replica"),
    INSTANCE_NAME_IN_USE(541, "another process uses the name of this instance; this one refuses new work");

    private final int number;
    private final String summary;

    LogEvent(int number, String summary) {
        this.number = number;
        this.summary = summary;
    }

    /** Returns the stable number of the event. */
    public int number() {
        return number;
    }

    /** Returns what happened, in a few words. */
    public String summary() {
        return summary;
    }

    /** Returns the prefix of a log line: the number and the summary. */
    @Override
    public String toString() {
        return "E" + number + " " + summary;
    }
}
