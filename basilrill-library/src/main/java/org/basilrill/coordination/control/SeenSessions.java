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
 * When the leader last saw each session. A new leader counts from when it first looks, because it does not know what
 * its predecessor saw. A session whose expiry has been proposed is no longer confirmed, so its instance stops using it
 * before the expiry takes effect. Thread safe.
 */
final class SeenSessions {
    /** Time without a pull after which a session is expired; 2 s more than the lease of the instance. */
    static final Duration TIMEOUT = Duration.ofSeconds(5);

    private final Map<Session, Long> seenNanos = new HashMap<>();
    private final Set<Session> expiring = new HashSet<>();
    private long term = -1;

    /**
     * Marks sessions as seen after a confirmation by quorum; returns those that are held.
     *
     * @param open reads the open sessions; read under the lock, so that no expiry can be proposed and take effect
     *     between reading and marking
     */
    synchronized List<Session> confirm(
            long leaderTerm, long nowNanos, Collection<Session> asked, Supplier<Map<InstanceId, Long>> open) {
        if (!enter(leaderTerm)) {
            return List.of();
        }
        Map<InstanceId, Long> sessions = open.get();
        List<Session> held = asked.stream()
                .filter(session -> session.isIn(sessions) && !expiring.contains(session))
                .toList();
        held.forEach(session -> seenNanos.put(session, nowNanos));
        return held;
    }

    /** Returns the sessions to expire now; each is returned once in a term unless its proposal is withdrawn. */
    synchronized List<Session> takeExpired(long leaderTerm, long nowNanos, Supplier<Map<InstanceId, Long>> open) {
        if (!enter(leaderTerm)) {
            return List.of();
        }
        Map<InstanceId, Long> sessions = open.get();
        seenNanos.keySet().removeIf(session -> !session.isIn(sessions));
        expiring.removeIf(session -> !session.isIn(sessions));
        List<Session> expired = sessions.entrySet().stream()
                .map(entry -> new Session(entry.getKey(), entry.getValue()))
                .filter(session -> !expiring.contains(session))
                .filter(session -> nowNanos - seenNanos.computeIfAbsent(session, key -> nowNanos) >= TIMEOUT.toNanos())
                .toList();
        expiring.addAll(expired);
        return expired;
    }

    /**
     * Decides on the registration of a session. One that replaces another is allowed only once that other's lease has
     * surely ended, as its process may still act under it; the other is not confirmed any more then. An instance named
     * by its address need not wait: its earlier process has ended.
     *
     * @return the session to be replaced, or empty if there is none
     * @throws BasilrillException with {@code INSTANCE_NAME_IN_USE} if the other session may still be in use
     */
    synchronized Optional<Session> replace(
            long leaderTerm, long nowNanos, Session next, Supplier<Map<InstanceId, Long>> open) {
        Long current = open.get().get(next.instance());
        if (!enter(leaderTerm) || current == null || current == next.sessionId()) {
            return Optional.empty();
        }
        Session replaced = new Session(next.instance(), current);
        long seen = seenNanos.computeIfAbsent(replaced, key -> nowNanos);
        boolean mayBeInUse = !next.instance().isAddress();
        if (mayBeInUse && nowNanos - seen < ViewPuller.SESSION_LEASE.toNanos()) {
            throw new BasilrillException(
                    ErrorCode.INSTANCE_NAME_IN_USE, "another process uses the name " + next.instance());
        }
        expiring.add(replaced);
        return Optional.of(replaced);
    }

    /** Forgets an expiry that surely was not proposed. */
    synchronized void withdraw(Session session) {
        expiring.remove(session);
    }

    /** Starts anew with each term; returns whether the term is not an earlier one. */
    private boolean enter(long leaderTerm) {
        if (leaderTerm > term) {
            term = leaderTerm;
            seenNanos.clear();
            expiring.clear();
        }
        return leaderTerm == term;
    }

    /** One session of an instance. */
    record Session(InstanceId instance, long sessionId) {
        private boolean isIn(Map<InstanceId, Long> open) {
            Long current = open.get(instance);
            return current != null && current == sessionId;
        }
    }
}
