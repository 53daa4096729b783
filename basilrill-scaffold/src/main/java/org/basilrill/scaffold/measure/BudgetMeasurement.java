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
 * Measures wrongful refusals and the share of the worst-served account of grants against static shares of the rate and
 * an ideal central bucket, and the traffic of the budget subject by number of instances. Runs on a virtual clock; the
 * same seed gives the same figures. Single-threaded.
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
        Report report = measure(seed, seconds);
        System.out.println(markdown(report));
        ObjectMapper mapper = new ObjectMapper().enable(SerializationFeature.INDENT_OUTPUT);
        if (options.hasOption(JSON)) {
            mapper.writeValue(new File(options.getOptionValue(JSON)), report);
        } else {
            System.out.println(mapper.writeValueAsString(report));
        }
    }

    static Report measure(long seed, int seconds) {
        List<Service> services = new ArrayList<>();
        for (int instances : DEPLOYMENTS) {
            for (long burstSeconds : new long[] {10, 2}) {
                List<BudgetTraffic.Load> loads = loads(burstSeconds);
                List<BudgetTraffic.Request> requests = BudgetTraffic.generate(loads, instances, seconds, seed);
                Map<AccountId, BudgetRun.Tally> ideal = playShares(loads, requests, 1);
                services.add(service("central bucket", instances, burstSeconds, ideal, ideal));
                Map<AccountId, BudgetRun.Tally> shares = playShares(loads, requests, instances);
                services.add(service("static shares", instances, burstSeconds, shares, ideal));
                VirtualDeployment deployment = deployment(loads, instances, seed);
                services.add(service("grants", instances, burstSeconds, play(deployment, loads, requests), ideal));
            }
        }
        List<Traffic> traffic = new ArrayList<>();
        for (int instances : TRAFFIC_DEPLOYMENTS) {
            traffic.add(traffic(instances, seconds, seed));
        }
        return new Report(seed, seconds, services, traffic);
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
            String name, long rate, long burstSeconds, double timesRate, BudgetTraffic.Spread spread) {
        AccountId id = new AccountId(name);
        return new BudgetTraffic.Load(new Rules.Account(id, rate, rate * burstSeconds, 1), timesRate, spread);
    }

    private static Map<AccountId, BudgetRun.Tally> playShares(
            List<BudgetTraffic.Load> loads, List<BudgetTraffic.Request> requests, int instances) {
        VirtualTime time = new VirtualTime();
        List<StaticShares> shares = new ArrayList<>();
        for (int number = 0; number < instances; number++) {
            StaticShares share = new StaticShares(time, instances);
            loads.forEach(load -> share.add(load.account()));
            shares.add(share);
        }
        IntFunction<TokenAdmission> systems = instance -> shares.get(instance % instances);
        return new BudgetRun(time, loads, systems).play(requests, instance -> time.nanos());
    }

    private static VirtualDeployment deployment(List<BudgetTraffic.Load> loads, int instances, long seed) {
        VirtualDeployment deployment = new VirtualDeployment(instances, seed);
        deployment
                .log()
                .replaceAccounts(loads.stream().map(BudgetTraffic.Load::account).toList());
        deployment.start();
        // Sessions are registered and the buckets are claimed before the first request.
        deployment.time().runFor(Duration.ofSeconds(30));
        return deployment;
    }

    private static Map<AccountId, BudgetRun.Tally> play(
            VirtualDeployment deployment, List<BudgetTraffic.Load> loads, List<BudgetTraffic.Request> requests) {
        IntFunction<TokenAdmission> systems =
                instance -> deployment.budgets(deployment.instances().get(instance));
        return new BudgetRun(deployment.time(), loads, systems)
                .play(
                        requests,
                        instance -> deployment.nanos(deployment.instances().get(instance)));
    }

    private static Service service(
            String system,
            int instances,
            long burstSeconds,
            Map<AccountId, BudgetRun.Tally> tallies,
            Map<AccountId, BudgetRun.Tally> ideal) {
        long offered = 0;
        long refused = 0;
        long wrongful = 0;
        long refusedWithinRate = 0;
        boolean boundHolds = true;
        double worstShare = Double.MAX_VALUE;
        String worst = "";
        List<AccountService> accounts = new ArrayList<>();
        for (Map.Entry<AccountId, BudgetRun.Tally> entry : tallies.entrySet()) {
            BudgetRun.Tally tally = entry.getValue();
            offered += tally.offered();
            refused += tally.refusedRequests();
            wrongful += tally.wrongfullyRefused();
            refusedWithinRate += ideal.get(entry.getKey()).refusedRequests() == 0 ? tally.refusedRequests() : 0;
            boundHolds &= tally.boundHolds();
            double share =
                    PERCENT * tally.servedTokens() / ideal.get(entry.getKey()).servedTokens();
            accounts.add(new AccountService(
                    entry.getKey().value(),
                    tally.offered(),
                    tally.refusedRequests(),
                    tally.wrongfullyRefused(),
                    share));
            if (share < worstShare) {
                worstShare = share;
                worst = entry.getKey().value();
            }
        }
        return new Service(
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

    private static Traffic traffic(int instances, int seconds, long seed) {
        List<BudgetTraffic.Load> loads = loads(10);
        List<BudgetTraffic.Request> requests = BudgetTraffic.generate(loads, instances, seconds, seed);
        VirtualDeployment deployment = deployment(loads, instances, seed);
        long messages = deployment.network().messages();
        long bytes = deployment.network().bytes();
        play(deployment, loads, requests);
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

    private static String markdown(Report report) {
        StringBuilder text = new StringBuilder();
        text.append(String.format("seed %d, %d s of virtual time%n%n", report.seed, report.seconds));
        text.append("| instances | burst | system | offered | refused | wrongful | wrongful % | "
                + "refused within rate | worst account | "
                + "its share of the central bucket | bound |\n|---|---|---|---|---|---|---|---|---|---|---|\n");
        for (Service row : report.services) {
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

    /** All figures of one run. */
    record Report(long seed, int seconds, List<Service> services, List<Traffic> traffic) {}

    /**
     * How one system served the requests.
     *
     * @param refusedWithinRate refusals of accounts of which the central bucket refuses nothing
     * @param worstSharePercent charged tokens of the worst-served account, as a share of what the central bucket serves
     */
    record Service(
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
            List<AccountService> accounts) {}

    /** How one account was served. */
    record AccountService(String account, long offered, long refused, long wrongful, double sharePercent) {}

    /** Traffic of the budget subject, without envelopes. */
    record Traffic(
            int instances,
            double requestsPerSecond,
            double messagesPerSecond,
            double bytesPerSecond,
            double messagesPerSecondAndInstance,
            double bytesPerSecondAndInstance) {}
}
