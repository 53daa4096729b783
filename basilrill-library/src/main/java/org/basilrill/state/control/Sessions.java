package org.basilrill.state.control;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;
import org.basilrill.state.control.ControlResult.Done;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.thrift.control.SessionState;

/**
 * Open sessions, at most one for each instance. A session that has ended is never opened again: a delayed duplicate of
 * its registration must not replace its successor. Not thread safe.
 */
final class Sessions {
    /**
     * Number of ended sessions retained. 210 restarts a day fill it in 19 days; commands are delayed by seconds only.
     */
    private static final int MAXIMUM_ENDED = 4_096;

    private final TreeMap<InstanceId, Long> open = new TreeMap<>();
    private final Set<Session> ended = new LinkedHashSet<>();

    /** Returns the open sessions as a live map. */
    Map<InstanceId, Long> open() {
        return open;
    }

    boolean isOpen(InstanceId instance, long sessionId) {
        Long current = open.get(instance);
        return current != null && current == sessionId;
    }

    /** Returns the refusal of a registration; empty if the session may be opened. */
    Optional<ControlResult> refusal(Session session) {
        if (session.sessionId() == 0 || ended.contains(session)) {
            return Optional.of(new Refused(
                    ErrorCode.INSTANCE_NOT_CURRENT, "session " + session.sessionId() + " has ended or is not valid"));
        }
        return Optional.empty();
    }

    /** Opens a session. Returns the session that it replaces, which has ended with this. */
    Optional<Session> register(Session session) {
        Long previous = open.put(session.instance(), session.sessionId());
        if (previous == null || previous == session.sessionId()) {
            return Optional.empty();
        }
        Session replaced = new Session(session.instance(), previous);
        recordEnded(replaced);
        return Optional.of(replaced);
    }

    /** Ends a session, even if its registration has not been applied yet. */
    ControlResult expire(Session session) {
        open.remove(session.instance(), session.sessionId());
        recordEnded(session);
        return new Done();
    }

    List<SessionState> openState() {
        return ViewCodec.sessions(open);
    }

    List<SessionState> endedState() {
        List<SessionState> state = new ArrayList<>();
        ended.forEach(session -> state.add(new SessionState(session.instance().value(), session.sessionId())));
        return state;
    }

    void restore(List<SessionState> openSessions, List<SessionState> endedSessions) {
        open.clear();
        ended.clear();
        openSessions.forEach(state -> open.put(new InstanceId(state.getInstance()), state.getSessionId()));
        endedSessions.forEach(
                state -> ended.add(new Session(new InstanceId(state.getInstance()), state.getSessionId())));
    }

    private void recordEnded(Session session) {
        ended.add(session);
        if (ended.size() > MAXIMUM_ENDED) {
            Iterator<Session> oldest = ended.iterator();
            oldest.next();
            oldest.remove();
        }
    }

    /** One session of an instance. */
    record Session(InstanceId instance, long sessionId) {}
}
