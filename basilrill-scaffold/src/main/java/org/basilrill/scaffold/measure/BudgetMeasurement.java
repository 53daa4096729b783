package org.basilrill.scaffold.measure;

import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.SerializationFeature;
import java.io.File;
import java.io.IOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.IntFunction;
import java.util.logging.Level;
import java.util.logging.Logger;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.basilrill.api.AccountId;
import org.basilrill.coordination.admission.TokenAdmission;
import org.basilrill.scaffold.virtual.VirtualDeployment;
import org.basilrill.scaffold.virtual.VirtualTime;
import org.basilrill.state.configuration.Rules;

/**
 * Compares grants with static shares of the rate and with an ideal central bucket, by wrongful refusals and by the
 * share of the worst-served client account. Also measures the traffic of the budget subject by number of instances.
 * Runs on a virtual clock; the same seed gives the same figures. Single-threaded.
 */
public final class BudgetMeasurement {
    private static final String SEED = "seed";
    private static final String SECONDS = "seconds";
    private static final String JSON = "json";
    private static final Logger LOGGER = Logger.getLogger("org.basilrill");
    private static final int[] DEPLOYMENTS = {10, 12};
    private static final int[] TRAFFIC_DEPLOYMENTS = {3, 6, 12, 24};
    private static final double PERCENT = 100;

    private BudgetMeasurement() {}

    /**
     * Runs the measurement. Options: {@code --seed N}, {@code --seconds N} of virtual time, {@code --json FILE}.
     */
    public static void main(String[] arguments) throws ParseException, IOException {
        LOGGER.setLevel(Level.OFF);
        CommandLine options = new DefaultParser().parse(options(), arguments);
        long seed = Long.parseLong(options.getOptionValue(SEED, "1"));
        int seconds = Integer.parseInt(options.getOptionValue(SECONDS, "120"));
        BudgetReport report = measure(seed, seconds);
        System.out.println(markdown(report));
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        if (options.hasOption(JSON)) {
            mapper.writeValue(new File(options.getOptionValue(JSON)), report);
        } else {
            System.out.println(mapper.writeValueAsString(report));
        }
    }

    static BudgetReport measure(long seed, int seconds) {
        List<SystemOutcome> services = new ArrayList<>();
        for (int instances : DEPLOYMENTS) {
            for (long burstSeconds : new long[] {10, 2}) {
                List<BudgetTraffic.Load> loads = loads(burstSeconds);
                List<BudgetTraffic.Request> requests = BudgetTraffic.generate(loads, instances, seconds, seed);
                Map<AccountId, BudgetRun.AccountCounts> ideal = replayWithShares(loads, requests, 1);
                services.add(systemOutcome("central bucket", instances, burstSeconds, ideal, ideal));
                Map<AccountId, BudgetRun.AccountCounts> shares = replayWithShares(loads, requests, instances);
                services.add(systemOutcome("static shares", instances, burstSeconds, shares, ideal));
                VirtualDeployment deployment = startDeployment(loads, instances, seed);
                services.add(systemOutcome(
                        "grants", instances, burstSeconds, replayWithGrants(deployment, loads, requests), ideal));
            }
        }
        List<Traffic> traffic = new ArrayList<>();
        for (int instances : TRAFFIC_DEPLOYMENTS) {
            traffic.add(measureTraffic(instances, seconds, seed));
        }
        return new BudgetReport(seed, seconds, services, traffic);
    }

    private static Options options() {
        return new Options()
                .addOption(Option.builder().longOpt(SEED).hasArg().get())
                .addOption(Option.builder().longOpt(SECONDS).hasArg().get())
                .addOption(Option.builder().longOpt(JSON).hasArg().get());
    }

    private static List<BudgetTraffic.Load> loads(long burstSeconds) {
        return List.of(
                load("half-one-instance", 8000, burstSeconds, 0.5, BudgetTraffic.Spread.ONE_INSTANCE),
                load("full-one-instance", 8000, burstSeconds, 0.9, BudgetTraffic.Spread.ONE_INSTANCE),
                load("full-skewed", 20000, burstSeconds, 0.9, BudgetTraffic.Spread.SKEWED),
                load("full-uniform", 8000, burstSeconds, 0.9, BudgetTraffic.Spread.UNIFORM),
                load("full-cached-address", 8000, burstSeconds, 0.9, BudgetTraffic.Spread.CACHED_ADDRESS),
                load("triple-skewed", 8000, burstSeconds, 3, BudgetTraffic.Spread.SKEWED));
    }

    private static BudgetTraffic.Load load(
            String name, long rate, long burstSeconds, double rateMultiple, BudgetTraffic.Spread spread) {
        AccountId id = new AccountId(name);
        return new BudgetTraffic.Load(new Rules.Account(id, rate, rate * burstSeconds, 1), rateMultiple, spread);
    }

    private static Map<AccountId, BudgetRun.AccountCounts> replayWithShares(
            List<BudgetTraffic.Load> loads, List<BudgetTraffic.Request> requests, int instances) {
        VirtualTime time = new VirtualTime();
        List<StaticShares> shares = new ArrayList<>();
        for (int number = 0; number < instances; number++) {
            StaticShares share = new StaticShares(time, instances);
            loads.forEach(load -> share.addAccount(load.account()));
            shares.add(share);
        }
        IntFunction<TokenAdmission> admissionByInstance = instance -> shares.get(instance % instances);
        return new BudgetRun(time, loads, admissionByInstance).replay(requests, instance -> time.nanos());
    }

    private static VirtualDeployment startDeployment(List<BudgetTraffic.Load> loads, int instances, long seed) {
        VirtualDeployment deployment = new VirtualDeployment(instances, seed);
        deployment
                .log()
                .replaceAccounts(loads.stream().map(BudgetTraffic.Load::account).toList());
        deployment.start();
        // Lets all sessions be registered and all buckets be assigned before the first request.
        deployment.time().runFor(Duration.ofSeconds(30));
        return deployment;
    }

    private static Map<AccountId, BudgetRun.AccountCounts> replayWithGrants(
            VirtualDeployment deployment, List<BudgetTraffic.Load> loads, List<BudgetTraffic.Request> requests) {
        IntFunction<TokenAdmission> admissionByInstance =
                instance -> deployment.budgets(deployment.instances().get(instance));
        return new BudgetRun(deployment.time(), loads, admissionByInstance)
                .replay(
                        requests,
                        instance -> deployment.nanos(deployment.instances().get(instance)));
    }

    private static SystemOutcome systemOutcome(
            String system,
            int instances,
            long burstSeconds,
            Map<AccountId, BudgetRun.AccountCounts> countsByAccount,
            Map<AccountId, BudgetRun.AccountCounts> ideal) {
        long offered = 0;
        long refused = 0;
        long wrongful = 0;
        long refusedWithinRate = 0;
        boolean boundHolds = true;
        double worstShare = Double.MAX_VALUE;
        String worst = "";
        List<AccountOutcome> accounts = new ArrayList<>();
        for (Map.Entry<AccountId, BudgetRun.AccountCounts> entry : countsByAccount.entrySet()) {
            BudgetRun.AccountCounts counts = entry.getValue();
            offered += counts.offered();
            refused += counts.refusedRequests();
            wrongful += counts.wrongfullyRefused();
            refusedWithinRate += ideal.get(entry.getKey()).refusedRequests() == 0 ? counts.refusedRequests() : 0;
            boundHolds &= counts.boundHolds();
            double share =
                    PERCENT * counts.servedTokens() / ideal.get(entry.getKey()).servedTokens();
            accounts.add(new AccountOutcome(
                    entry.getKey().value(),
                    counts.offered(),
                    counts.refusedRequests(),
                    counts.wrongfullyRefused(),
                    share));
            if (share < worstShare) {
                worstShare = share;
                worst = entry.getKey().value();
            }
        }
        return new SystemOutcome(
                system,
                instances,
                burstSeconds,
                offered,
                refused,
                wrongful,
                PERCENT * wrongful / offered,
                refusedWithinRate,
                worst,
                worstShare,
                boundHolds,
                accounts);
    }

    private static Traffic measureTraffic(int instances, int seconds, long seed) {
        List<BudgetTraffic.Load> loads = loads(10);
        List<BudgetTraffic.Request> requests = BudgetTraffic.generate(loads, instances, seconds, seed);
        VirtualDeployment deployment = startDeployment(loads, instances, seed);
        long messages = deployment.network().messages();
        long bytes = deployment.network().bytes();
        replayWithGrants(deployment, loads, requests);
        double perSecond = (double) (deployment.network().messages() - messages) / seconds;
        double bytesPerSecond = (double) (deployment.network().bytes() - bytes) / seconds;
        return new Traffic(
                instances,
                (double) requests.size() / seconds,
                perSecond,
                bytesPerSecond,
                perSecond / instances,
                bytesPerSecond / instances);
    }

    private static String markdown(BudgetReport report) {
        StringBuilder text = new StringBuilder();
        text.append(String.format("seed %d, %d s of virtual time%n%n", report.seed, report.seconds));
        text.append("| instances | burst | system | offered | refused | wrongful | wrongful % | "
                + "refused within rate | worst account | "
                + "its share of the central bucket | bound |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
        for (SystemOutcome row : report.services) {
            text.append(String.format(
                    "| %d | %d s | %s | %d | %d | %d | %.3f | %d | %s | %.2f%% | %s |%n",
                    row.instances,
                    row.burstSeconds,
                    row.system,
                    row.offered,
                    row.refused,
                    row.wrongful,
                    row.wrongfulPercent,
                    row.refusedWithinRate,
                    row.worstAccount,
                    row.worstSharePercent,
                    row.boundHolds ? "holds" : "broken"));
        }
        text.append("\n| instances | requests/s | messages/s | payload bytes/s | messages/s per instance | "
                + "payload bytes/s per instance |\n|---|---|---|---|---|---|\n");
        for (Traffic row : report.traffic) {
            text.append(String.format(
                    "| %d | %.1f | %.1f | %.0f | %.1f | %.0f |%n",
                    row.instances,
                    row.requestsPerSecond,
                    row.messagesPerSecond,
                    row.bytesPerSecond,
                    row.messagesPerSecondAndInstance,
                    row.bytesPerSecondAndInstance));
        }
        return text.toString();
    }

    /** All results of one run; written as JSON. */
    record BudgetReport(long seed, int seconds, List<SystemOutcome> services, List<Traffic> traffic) {}

    /**
     * The result of one system: grants, static shares or the central bucket.
     *
     * @param refusedWithinRate refusals of client accounts for which the central bucket refuses no request
     * @param worstSharePercent tokens charged to the worst-served client account, in percent of the central bucket's
     */
    record SystemOutcome(
            String system,
            int instances,
            long burstSeconds,
            long offered,
            long refused,
            long wrongful,
            double wrongfulPercent,
            long refusedWithinRate,
            String worstAccount,
            double worstSharePercent,
            boolean boundHolds,
            List<AccountOutcome> accounts) {}

    /** The result of one client account. */
    record AccountOutcome(String account, long offered, long refused, long wrongful, double sharePercent) {}

    /** Traffic of the budget subject between instances, without envelopes. */
    record Traffic(
            int instances,
            double requestsPerSecond,
            double messagesPerSecond,
            double bytesPerSecond,
            double messagesPerSecondAndInstance,
            double bytesPerSecondAndInstance) {}
}
