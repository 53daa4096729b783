package org.basilrill.scaffold.measure;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * What one scheme achieved in one run. Immutable.
 *
 * @param attainment part of all requests whose first token came within the objective
 * @param worstAll the worst figures among all client accounts
 * @param worstSteady the worst figures among the accounts that send no bursts
 * @param fullAnswers times an engine answered that it is full
 */
record SchemeResult(
        String scheme,
        double attainment,
        Worst worstAll,
        Worst worstSteady,
        long refused,
        long fullAnswers,
        List<AccountResult> accounts) {
    static SchemeResult of(String scheme, List<AccountResult> accounts, int fullAnswers) {
        double sent = accounts.stream().mapToLong(AccountResult::sent).sum();
        double within = accounts.stream()
                .mapToDouble(account -> account.attainment() * account.sent())
                .sum();
        return new SchemeResult(
                scheme,
                within / sent,
                Worst.of(accounts),
                Worst.of(accounts.stream().filter(AccountResult::steady).toList()),
                accounts.stream().mapToLong(AccountResult::refused).sum(),
                fullAnswers,
                accounts);
    }

    /**
     * The lowest attainment, the lowest part of the offered tokens that was served, and the highest delays of any of
     * some client accounts; the figures may be of different accounts.
     */
    record Worst(double attainment, double servedPart, double meanDelayMillis, double delay95Millis) {
        static Worst of(List<AccountResult> accounts) {
            return new Worst(
                    lowest(accounts, AccountResult::attainment),
                    lowest(accounts, AccountResult::servedPart),
                    -lowest(accounts, account -> -account.meanDelayMillis()),
                    -lowest(accounts, account -> -account.delay95Millis()));
        }

        private static double lowest(List<AccountResult> accounts, ToDoubleFunction<AccountResult> value) {
            return accounts.stream().mapToDouble(value).min().orElseThrow();
        }
    }

    /** What one client account got; delays are from sending to the first token, of the requests that had one. */
    record AccountResult(
            String account,
            boolean steady,
            long sent,
            long refused,
            double attainment,
            double servedPart,
            double meanDelayMillis,
            double medianDelayMillis,
            double delay95Millis) {}
}
