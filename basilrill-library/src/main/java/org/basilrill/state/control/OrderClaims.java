package org.basilrill.state.control;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.basilrill.api.AccountId;
import org.basilrill.api.ErrorCode;
import org.basilrill.api.Outcome;
import org.basilrill.state.control.ControlCommand.ClaimOrder;
import org.basilrill.state.control.ControlCommand.FinishOrder;
import org.basilrill.state.control.ControlResult.Done;
import org.basilrill.state.control.ControlResult.OrderFinished;
import org.basilrill.state.control.ControlResult.OrderGranted;
import org.basilrill.state.control.ControlResult.OrderRunning;
import org.basilrill.state.control.ControlResult.Refused;
import org.basilrill.thrift.control.ClaimPhase;
import org.basilrill.thrift.control.ClaimState;

/**
 * Claims of orders by account and idempotency key. At most one attempt holds a claim, and once an attempt may have run,
 * no other attempt is granted while the claim is retained. An attempt that ended without running anything is never
 * granted, even if its end is applied before its claim. Running claims are retained until their session ends. Not
 * thread safe.
 */
final class OrderClaims {
    /** Time a claim is retained after its last change. */
    static final long RETENTION_MILLIS = Duration.ofHours(24).toMillis();

    /** Bounds the recorded responses for a heap of 128 MB; beyond it the oldest bodies are dropped. */
    static final int MAXIMUM_RETAINED_BYTES = 16 * 1024 * 1024;

    /** Claims ordered by their last change, oldest first. */
    private final LinkedHashMap<Key, Claim> claims = new LinkedHashMap<>();

    private long retainedBytes;

    ControlResult claim(ClaimOrder command, Sessions sessions, long nowMillis) {
        Key key = new Key(command.account(), command.idempotencyKey());
        Claim claim = claims.get(key);
        if (claim != null && claim.contradicts(command.fingerprint())) {
            return new Refused(ErrorCode.ORDER_MISMATCH, "the idempotency key was used for a different request");
        }
        if (claim != null && claim.phase() != ClaimPhase.RELEASED) {
            return resultFor(claim, command);
        }
        if (claim != null && claim.releasedAttempts().contains(command.attempt())) {
            return new OrderFinished(Outcome.NOT_RUN, Optional.empty());
        }
        if (!sessions.isOpen(command.instance(), command.sessionId())) {
            return new Refused(ErrorCode.INSTANCE_NOT_CURRENT, "the session of the claiming instance is not open");
        }
        put(key, Claim.granted(command, claim == null ? List.of() : claim.releasedAttempts(), nowMillis));
        return new OrderGranted();
    }

    ControlResult finish(FinishOrder command, long nowMillis) {
        Key key = new Key(command.account(), command.idempotencyKey());
        Claim claim = claims.get(key);
        boolean released = command.outcome() == Outcome.NOT_RUN;
        if (claim != null && released && claim.releasedAttempts().contains(command.attempt())) {
            return new Done();
        }
        boolean holds =
                claim != null && claim.attempt().equals(command.attempt()) && claim.phase() != ClaimPhase.RELEASED;
        if (released && !holds && (claim == null || claim.phase() != ClaimPhase.FINISHED)) {
            // The claim of this attempt may be applied later; if granted then, it would be held until its session ends.
            put(key, claim == null ? Claim.refusing(command.attempt(), nowMillis) : claim.refusing(command, nowMillis));
            return new Done();
        }
        if (!holds) {
            return new Refused(ErrorCode.ORDER_MISMATCH, "the attempt does not hold the claim");
        }
        if (claim.phase() == ClaimPhase.FINISHED) {
            return claim.outcome().equals(Optional.of(command.outcome()))
                    ? new Done()
                    : new Refused(ErrorCode.ORDER_MISMATCH, "the order finished with another outcome");
        }
        if (released) {
            put(key, claim.released(nowMillis));
            return new Done();
        }
        put(key, claim.finished(command.outcome(), command.response().map(OrderClaims::bounded), nowMillis));
        dropOldestBodies();
        return new Done();
    }

    /** Marks the outcome of claims that are running in an ended session as unknown. */
    void sessionEnded(Sessions.Session session, long nowMillis) {
        List<Key> abandoned = claims.entrySet().stream()
                .filter(entry -> entry.getValue().phase() == ClaimPhase.RUNNING
                        && entry.getValue().instance().equals(session.instance())
                        && entry.getValue().sessionId() == session.sessionId())
                .map(Map.Entry::getKey)
                .toList();
        abandoned.forEach(key -> put(key, claims.get(key).withUnknownOutcome(nowMillis)));
    }

    /** Drops claims that have not changed for the retention time, except running ones. */
    void expire(long nowMillis) {
        Iterator<Claim> oldest = claims.values().iterator();
        while (oldest.hasNext()) {
            Claim claim = oldest.next();
            if (nowMillis - claim.changedMillis() <= RETENTION_MILLIS) {
                return;
            }
            if (claim.phase() != ClaimPhase.RUNNING) {
                retainedBytes -= claim.bodyBytes();
                oldest.remove();
            }
        }
    }

    List<ClaimState> state() {
        List<ClaimState> state = new ArrayList<>();
        claims.forEach((key, claim) -> state.add(claim.state(key.account(), key.idempotencyKey())));
        return state;
    }

    void restore(List<ClaimState> state) {
        claims.clear();
        retainedBytes = 0;
        for (ClaimState claim : state) {
            put(new Key(new AccountId(claim.getAccount()), claim.getIdempotencyKey()), Claim.fromState(claim));
        }
    }

    private static ControlResult resultFor(Claim claim, ClaimOrder command) {
        switch (claim.phase()) {
            case RUNNING:
                return claim.attempt().equals(command.attempt())
                        ? new OrderGranted()
                        : new OrderRunning(claim.instance());
            case FINISHED:
                return new OrderFinished(claim.outcome().orElseThrow(), claim.response());
            default:
                return new OrderFinished(Outcome.MAY_HAVE_RUN, Optional.empty());
        }
    }

    private static RecordedResponse bounded(RecordedResponse response) {
        return response.body().length <= RecordedResponse.MAXIMUM_BODY_BYTES ? response : Claim.withoutBody(response);
    }

    /** Stores a claim as the one that changed last. */
    private void put(Key key, Claim claim) {
        Claim previous = claims.remove(key);
        retainedBytes += claim.bodyBytes() - (previous == null ? 0 : previous.bodyBytes());
        claims.put(key, claim);
    }

    private void dropOldestBodies() {
        Iterator<Map.Entry<Key, Claim>> oldest = claims.entrySet().iterator();
        while (retainedBytes > MAXIMUM_RETAINED_BYTES && oldest.hasNext()) {
            Map.Entry<Key, Claim> entry = oldest.next();
            retainedBytes -= entry.getValue().bodyBytes();
            if (entry.getValue().bodyBytes() > 0) {
                entry.setValue(entry.getValue().withoutBody());
            }
        }
    }

    /** Identifies one order. */
    private record Key(AccountId account, String idempotencyKey) {}
}
