package org.basilrill.scaffold.measure;

import java.util.List;
import java.util.function.ToDoubleFunction;

/**
 * The result of one dispatch scheme in one run. Immutable.
 *
 * @param attainment share of all requests whose first token arrived within the objective
 * @param worstAll the worst figures among all client accounts
 * @param worstSteady the worst figures among the client accounts that send no bursts
 * @param fullAnswers number of responses in which an engine refused a request as full
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
     * The worst value of each figure among a set of client accounts; the values can come from different accounts.
     *
     * @param servedPart lowest share of an account's offered tokens that was served
     * @param meanDelayMillis highest mean delay of an account
     * @param delay95Millis highest 95th percentile of an account's delays
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

    /**
     * The result of one client account. Delays run from sending to the first token; requests without one are left out.
     */
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
