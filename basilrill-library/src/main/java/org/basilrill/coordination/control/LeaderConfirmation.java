package org.basilrill.coordination.control;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.control.SessionTracker.Session;
import org.basilrill.state.control.ControlStateMachine;

/** Confirms the control state on the leader and marks the sessions of the requesters as seen. Thread safe. */
final class LeaderConfirmation {
    private final ControlLog log;
    private final ControlStateMachine machine;
    private final SessionTracker sessionTracker;
    private final MonotonicClock clock;

    LeaderConfirmation(
            ControlLog log, ControlStateMachine machine, SessionTracker sessionTracker, MonotonicClock clock) {
        this.log = log;
        this.machine = machine;
        this.sessionTracker = sessionTracker;
        this.clock = clock;
    }

    /**
     * Confirms by a quorum round that starts after the call. Sessions are marked only after the round: a deposed leader
     * must not confirm to an instance that its session is held.
     *
     * @return fails with {@code NOT_LEADER} or {@code CONTROL_UNAVAILABLE}
     */
    CompletableFuture<Confirmed> confirm(Collection<Session> sessions) {
        long term = log.term();
        return log.confirm().thenApply(index -> {
            if (!log.isLeader() || log.term() != term) {
                throw new BasilrillException(ErrorCode.NOT_LEADER, "leadership changed during the confirmation");
            }
            long viewIndex = machine.view().index();
            List<Session> openSessions = sessionTracker.confirm(
                    term, clock.nanos(), sessions, () -> machine.view().sessions());
            return new Confirmed(viewIndex, openSessions);
        });
    }

    /**
     * State of the log after the confirmation was requested.
     *
     * @param viewIndex index from which on a view is current
     * @param openSessions the requested sessions that are open
     */
    record Confirmed(long viewIndex, List<Session> openSessions) {
        Confirmed {
            openSessions = List.copyOf(openSessions);
        }
    }
}
