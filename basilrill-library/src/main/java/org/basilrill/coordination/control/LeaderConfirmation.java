package org.basilrill.coordination.control;

import java.util.Collection;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.MonotonicClock;
import org.basilrill.coordination.control.SeenSessions.Session;
import org.basilrill.state.control.ControlStateMachine;

/** Confirms the control state on the leader and marks the sessions of those who asked as seen. Thread safe. */
final class LeaderConfirmation {
    private final ControlLog log;
    private final ControlStateMachine machine;
    private final SeenSessions seen;
    private final MonotonicClock clock;

    LeaderConfirmation(ControlLog log, ControlStateMachine machine, SeenSessions seen, MonotonicClock clock) {
        this.log = log;
        this.machine = machine;
        this.seen = seen;
        this.clock = clock;
    }

    /**
     * Confirms by a quorum round that starts after the call. Sessions are marked only after the round: a deposed leader
     * must not make an instance believe that its session holds.
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
            List<Session> held = seen.confirm(
                    term, clock.nanos(), sessions, () -> machine.view().sessions());
            return new Confirmed(viewIndex, held);
        });
    }

    /**
     * State of the log at a time after the question.
     *
     * @param viewIndex a view of this index or a later one is current
     * @param held the sessions that are open, of those asked for
     */
    record Confirmed(long viewIndex, List<Session> held) {
        Confirmed {
            held = List.copyOf(held);
        }
    }
}
