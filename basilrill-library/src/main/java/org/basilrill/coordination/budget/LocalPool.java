package org.basilrill.coordination.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Unspent grants of one account at this instance, with the reports and refunds still to be sent. Not thread safe;
 * guarded by the lock of the shard.
 */
final class LocalPool {
    private final Deque<LocalGrant> grants = new ArrayDeque<>();
    private final List<Part> refunds = new ArrayList<>();
    private final SpendingAverage spending = new SpendingAverage();
    private Optional<Long> flushAt = Optional.empty();

    void add(LocalGrant grant) {
        grants.add(grant);
    }

    long remaining(long nowNanos) {
        dropExpired(nowNanos);
        return grants.stream().mapToLong(LocalGrant::remaining).sum();
    }

    /** Returns the tokens wanted beyond the need. */
    long lookAhead(long nowNanos) {
        return (long) (spending.tokensPerSecond(nowNanos) * BudgetTiming.LOOK_AHEAD_SECONDS);
    }

    /** Spends the tokens if they are all there; the result names the grants that paid. */
    Optional<List<Part>> trySpend(long tokens, long nowNanos) {
        if (remaining(nowNanos) < tokens) {
            return Optional.empty();
        }
        List<Part> parts = new ArrayList<>();
        long missing = tokens;
        for (LocalGrant grant : grants) {
            long spent = grant.spend(missing, nowNanos);
            if (spent > 0) {
                parts.add(new Part(grant, spent));
                missing -= spent;
            }
        }
        spending.add(tokens, nowNanos);
        scheduleFlush(nowNanos);
        return Optional.of(parts);
    }

    /** Keeps the grants another idle time, as waiting requests count on them. */
    void keepForWaiting(long nowNanos) {
        grants.forEach(grant -> grant.spend(0, nowNanos));
    }

    /** Takes back unused tokens: into the grant while its owner does not know them spent, else as a refund. */
    void takeBack(List<Part> parts, long unused, long nowNanos) {
        long left = unused;
        for (int index = parts.size() - 1; index >= 0 && left > 0; index--) {
            Part part = parts.get(index);
            long back = Math.min(left, part.tokens());
            left -= back;
            long refund = back - part.grant().putBack(back, nowNanos);
            if (refund > 0) {
                refunds.add(new Part(part.grant(), refund));
                scheduleFlush(nowNanos);
            }
        }
    }

    /** Returns whether something should be reported now. */
    boolean isFlushDue(long nowNanos) {
        dropExpired(nowNanos);
        return flushAt.filter(due -> due - nowNanos <= 0).isPresent()
                || grants.stream().anyMatch(grant -> grant.idleAt() - nowNanos <= 0);
    }

    /**
     * Takes the reports for the owner of an epoch. Grants of other epochs are not reported.
     *
     * @param returnAll whether unspent grants are returned even if they were used lately
     */
    List<BudgetMessage.Report> takeReports(long epoch, boolean returnAll, long nowNanos) {
        dropExpired(nowNanos);
        flushAt = Optional.empty();
        List<BudgetMessage.Report> reports = new ArrayList<>();
        List<LocalGrant> ended = new ArrayList<>();
        for (LocalGrant grant : grants) {
            boolean close = returnAll || grant.remaining() == 0 || grant.idleAt() - nowNanos <= 0;
            if (close || grant.hasUnreportedSpending()) {
                BudgetMessage.Report report = grant.report(close);
                if (grant.epoch() == epoch) {
                    reports.add(report);
                }
            }
            if (close) {
                ended.add(grant);
            }
        }
        grants.removeAll(ended);
        return reports;
    }

    /** Takes the refunds for the owner of an epoch, one per grant. Those of other epochs are dropped. */
    List<BudgetMessage.Refund> takeRefunds(long epoch) {
        List<BudgetMessage.Refund> taken = refunds.stream()
                .filter(part -> part.grant().epoch() == epoch)
                .map(part -> new BudgetMessage.Refund(
                        part.grant().ask(), part.grant().grantedAt(), part.tokens()))
                .toList();
        refunds.clear();
        return taken;
    }

    Optional<Long> nextDue(long nowNanos) {
        Optional<Long> earliest = flushAt;
        for (LocalGrant grant : grants) {
            earliest = Times.earlier(earliest, Times.earlier(grant.idleAt(), grant.expiresAt()));
        }
        return earliest;
    }

    private void scheduleFlush(long nowNanos) {
        if (flushAt.isEmpty()) {
            flushAt = Optional.of(nowNanos + BudgetTiming.REPORT_DELAY);
        }
    }

    private void dropExpired(long nowNanos) {
        grants.removeIf(grant -> {
            boolean expired = grant.isExpired(nowNanos);
            if (expired) {
                grant.close();
            }
            return expired;
        });
    }

    /** Tokens of one charge that were paid from one grant. */
    record Part(LocalGrant grant, long tokens) {}
}
