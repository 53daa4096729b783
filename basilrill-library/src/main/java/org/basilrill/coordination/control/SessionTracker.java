package org.basilrill.coordination.control;

import java.time.Duration;
import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.basilrill.api.BasilrillException;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.InstanceId;

/**
 * Tracks when the leader last saw each session. A new leader starts the timeout at its first check of a session,
 * because the times of its predecessor are unknown. A session whose expiry has been proposed is no longer confirmed, so
 * its instance stops using it before the expiry takes effect. Thread safe.
 */
final class SessionTracker {
    /** Time without a pull after which a session is expired; 2 s longer than the lease of the instance. */
    static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Map<Session, Long> lastSeenNanos = new HashMap<>();
    private final Set<Session> expiring = new HashSet<>();
    private long term = -1;

    /**
     * Marks sessions as seen after a quorum confirmation; returns those that are held.
     *
     * @param openSessions reads the open sessions; read under the lock, so that no expiry can be proposed and take
     *     effect between reading and marking
     */
    synchronized List<Session> confirm(
            long leaderTerm,
            long nowNanos,
            Collection<Session> requested,
            Supplier<Map<InstanceId, Long>> openSessions) {
        if (!enterTerm(leaderTerm)) {
            return List.of();
        }
        Map<InstanceId, Long> sessions = openSessions.get();
        List<Session> confirmed = requested.stream()
                .filter(session -> session.isIn(sessions) && !expiring.contains(session))
                .toList();
        confirmed.forEach(session -> lastSeenNanos.put(session, nowNanos));
        return confirmed;
    }

    /** Returns the sessions to expire now. Each is returned once per term unless its expiry is cancelled. */
    synchronized List<Session> takeExpired(
            long leaderTerm, long nowNanos, Supplier<Map<InstanceId, Long>> openSessions) {
        if (!enterTerm(leaderTerm)) {
            return List.of();
        }
        Map<InstanceId, Long> sessions = openSessions.get();
        lastSeenNanos.keySet().removeIf(session -> !session.isIn(sessions));
        expiring.removeIf(session -> !session.isIn(sessions));
        List<Session> expired = sessions.entrySet().stream()
                .map(entry -> new Session(entry.getKey(), entry.getValue()))
                .filter(session -> !expiring.contains(session))
                .filter(session ->
                        nowNanos - lastSeenNanos.computeIfAbsent(session, key -> nowNanos) >= TIMEOUT.toNanos())
                .toList();
        expiring.addAll(expired);
        return expired;
    }

    /**
     * Checks the registration of a session. A session may replace another only after the lease of the other has
     * certainly ended, because its process may still use it; the replaced session is no longer confirmed. An instance
     * named by its address need not wait: its earlier process has ended.
     *
     * @return the session to be replaced, or empty if there is none
     * @throws BasilrillException with {@code INSTANCE_NAME_IN_USE} if the other session may still be in use
     */
    synchronized Optional<Session> replace(
            long leaderTerm, long nowNanos, Session next, Supplier<Map<InstanceId, Long>> openSessions) {
        Long current = openSessions.get().get(next.instance());
        if (!enterTerm(leaderTerm) || current == null || current == next.sessionId()) {
            return Optional.empty();
        }
        Session replaced = new Session(next.instance(), current);
        long lastSeen = lastSeenNanos.computeIfAbsent(replaced, key -> nowNanos);
        boolean mustWaitForLease = !next.instance().isAddress();
        if (mustWaitForLease && nowNanos - lastSeen < ViewPuller.SESSION_LEASE.toNanos()) {
            throw new BasilrillException(
                    ErrorCode.INSTANCE_NAME_IN_USE, "another process uses the name " + next.instance());
        }
        expiring.add(replaced);
        return Optional.of(replaced);
    }

    /** Cancels an expiry that was certainly not proposed. */
    synchronized void cancelExpiry(Session session) {
        expiring.remove(session);
    }

    /** Discards all tracked state when a new term begins; returns whether the term is the latest one. */
    private boolean enterTerm(long leaderTerm) {
        if (leaderTerm > term) {
            term = leaderTerm;
            lastSeenNanos.clear();
            expiring.clear();
        }
        return leaderTerm == term;
    }

    /** A session of an instance. */
    record Session(InstanceId instance, long sessionId) {
        private boolean isIn(Map<InstanceId, Long> openSessions) {
            Long current = openSessions.get(instance);
            return current != null && current == sessionId;
        }
    }
}
