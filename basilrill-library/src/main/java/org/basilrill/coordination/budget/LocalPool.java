package org.basilrill.coordination.budget;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;

/**
 * Unspent grants of one account at this instance, with the reports and refunds that are not sent yet. Not thread safe;
 * guarded by the lock of the shard.
 */
final class LocalPool {
    private final Deque<LocalGrant> grants = new ArrayDeque<>();
    private final List<GrantCharge> refunds = new ArrayList<>();
    private final SpendingAverage spending = new SpendingAverage();
    private Optional<Long> reportDueAt = Optional.empty();

    void add(LocalGrant grant) {
        grants.add(grant);
    }

    long remaining(long nowNanos) {
        dropExpired(nowNanos);
        return grants.stream().mapToLong(LocalGrant::remaining).sum();
    }

    /** Returns the tokens to request beyond the need. */
    long lookAhead(long nowNanos) {
        return (long) (spending.tokensPerSecond(nowNanos) * BudgetTiming.LOOK_AHEAD_SECONDS);
    }

    /** Spends the tokens if the grants have all of them; returns the tokens charged to each grant. */
    Optional<List<GrantCharge>> trySpend(long tokens, long nowNanos) {
        if (remaining(nowNanos) < tokens) {
            return Optional.empty();
        }
        List<GrantCharge> grantCharges = new ArrayList<>();
        long missing = tokens;
        for (LocalGrant grant : grants) {
            long spent = grant.spend(missing, nowNanos);
            if (spent > 0) {
                grantCharges.add(new GrantCharge(grant, spent));
                missing -= spent;
            }
        }
        spending.add(tokens, nowNanos);
        scheduleReport(nowNanos);
        return Optional.of(grantCharges);
    }

    /** Restarts the idle time of the grants, because queued charges need them. */
    void extendIdleTimes(long nowNanos) {
        grants.forEach(grant -> grant.spend(0, nowNanos));
    }

    /**
     * Restores unused tokens to their grant. Adds them to the refunds if the grant has ended or the owner was notified
     * that they are spent.
     */
    void refund(List<GrantCharge> grantCharges, long unused, long nowNanos) {
        long remainingUnused = unused;
        for (int index = grantCharges.size() - 1; index >= 0 && remainingUnused > 0; index--) {
            GrantCharge grantCharge = grantCharges.get(index);
            long returned = Math.min(remainingUnused, grantCharge.tokens());
            remainingUnused -= returned;
            long refundTokens = returned - grantCharge.grant().restore(returned, nowNanos);
            if (refundTokens > 0) {
                refunds.add(new GrantCharge(grantCharge.grant(), refundTokens));
                scheduleReport(nowNanos);
            }
        }
    }

    /** Returns whether a report is due now. */
    boolean isReportDue(long nowNanos) {
        dropExpired(nowNanos);
        return reportDueAt.filter(due -> due - nowNanos <= 0).isPresent()
                || grants.stream().anyMatch(grant -> grant.idleAt() - nowNanos <= 0);
    }

    /**
     * Removes and returns the reports for the owner of an epoch. Grants of other epochs are not reported.
     *
     * @param returnAll whether unspent grants are returned even if they were used recently
     */
    List<BudgetMessage.Report> takeReports(long epoch, boolean returnAll, long nowNanos) {
        dropExpired(nowNanos);
        reportDueAt = Optional.empty();
        List<BudgetMessage.Report> reports = new ArrayList<>();
        List<LocalGrant> closedGrants = new ArrayList<>();
        for (LocalGrant grant : grants) {
            boolean close = returnAll || grant.remaining() == 0 || grant.idleAt() - nowNanos <= 0;
            if (close || grant.hasUnreportedSpending()) {
                BudgetMessage.Report report = grant.report(close);
                if (grant.epoch() == epoch) {
                    reports.add(report);
                }
            }
            if (close) {
                closedGrants.add(grant);
            }
        }
        grants.removeAll(closedGrants);
        return reports;
    }

    /** Removes and returns the refunds for the owner of an epoch. Those of other epochs are dropped. */
    List<BudgetMessage.Refund> takeRefunds(long epoch) {
        List<BudgetMessage.Refund> drained = refunds.stream()
                .filter(grantCharge -> grantCharge.grant().epoch() == epoch)
                .map(grantCharge -> new BudgetMessage.Refund(
                        grantCharge.grant().requestNumber(), grantCharge.grant().grantedAt(), grantCharge.tokens()))
                .toList();
        refunds.clear();
        return drained;
    }

    Optional<Long> nextDue(long nowNanos) {
        Optional<Long> earliest = reportDueAt;
        for (LocalGrant grant : grants) {
            earliest = Times.earlier(earliest, Times.earlier(grant.idleAt(), grant.expiresAt()));
        }
        return earliest;
    }

    private void scheduleReport(long nowNanos) {
        if (reportDueAt.isEmpty()) {
            reportDueAt = Optional.of(nowNanos + BudgetTiming.REPORT_DELAY);
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

    /** Tokens of one charge that were charged to one grant. */
    record GrantCharge(LocalGrant grant, long tokens) {}
}
