package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import java.util.function.Supplier;
import org.basilrill.scaffold.virtual.VirtualFleet.Content;

/**
 * Complete instances, targets of one service, and callers who repeat requests: some of them crash every target that
 * runs them, the others are sound. Targets may also end by themselves. Not thread safe.
 */
final class CrashingRequestScenario {
    static final String POPULAR = "popular read";
    static final String RARE = "rare read";

    /** Rates of requests per second. */
    private static final int POPULAR_RATE = 20;

    private static final int RARE_RATE = 2;
    private static final int SINGLE_RATE = 20;

    private static final Duration DEADLINE = Duration.ofSeconds(2);
    private static final Duration DOWNTIME = Duration.ofSeconds(3);
    private static final Duration RUN_TIME = Duration.ofMillis(20);

    /** Time after the third crash from which on a request that crashes targets counts as late. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    private static final int COUNTED_CRASH = 3;
    private static final String SINGLE = "single ";
    private static final String CRASHING = "crashing ";
    private static final String PATH = "/v1/services/ledger/status";

    private final VirtualFleet fleet;
    private final Random random;
    private int requests;

    CrashingRequestScenario(long seed, int instances, int targets) {
        fleet = new VirtualFleet(seed, instances, targets, Optional.of("ledger"), Optional.empty());
        random = new Random(seed);
        fleet.targets().forEach(target -> {
            target.setRunTime(RUN_TIME);
            target.crashOn(body -> body.startsWith(CRASHING), DOWNTIME);
        });
    }

    VirtualFleet fleet() {
        return fleet;
    }

    /** Returns the body of a request that crashes targets. */
    static String crashing(int number) {
        return CRASHING + number;
    }

    /** Lets the targets run all requests without crashing from now on. */
    void mendTargets() {
        fleet.targets().forEach(target -> target.crashOn(body -> false, DOWNTIME));
    }

    /** Sends sound requests for a while: a popular one, a rare one, and others that are never the same. */
    void run(Duration duration) {
        fleet.run(duration, POPULAR_RATE + RARE_RATE + SINGLE_RATE, DEADLINE, soundRequests());
    }

    /** Sends sound requests for a while and each of some crashing ones every so often. */
    void runWithCrashing(Duration duration, Duration period, int crashingRequests) {
        long end = fleet.time().nanos() + duration.toNanos();
        while (fleet.time().nanos() < end) {
            for (int number = 0; number < crashingRequests; number++) {
                send(crashing(number));
            }
            run(period);
        }
    }

    /** Sends one request at a random instance. */
    void send(String body) {
        fleet.run(Duration.ofMillis(50), 20, DEADLINE, () -> new Content(PATH, body));
    }

    /** Ends targets at once, each at a moment at which requests run there; they come back with a new incarnation. */
    void endByChance(int count) {
        for (int ended = 0; ended < count; ended++) {
            VirtualTarget target =
                    fleet.targets().get(random.nextInt(fleet.targets().size()));
            if (target.isUp()) {
                target.crash();
                fleet.time().schedule(DOWNTIME, target::restart);
            }
        }
    }

    /** Returns how often a request arrived at targets later than the time at which all instances have to refuse it. */
    long lateArrivals(String body) {
        List<Long> arrivals = fleet.targets().stream()
                .flatMap(target -> target.executions().stream())
                .filter(execution -> execution.body().equals(body))
                .map(TargetExecution::nanos)
                .sorted()
                .toList();
        if (arrivals.size() < COUNTED_CRASH) {
            return 0;
        }
        long known = arrivals.get(COUNTED_CRASH - 1) + CONTACT.toNanos();
        return arrivals.stream().filter(nanos -> nanos > known).count();
    }

    /** Returns the share of the requests with this body, from the given caller on, that were served. */
    double servedShare(int firstCaller, String body) {
        return servedShare(firstCaller, body::equals);
    }

    /** Returns the share of the requests that are never the same, from the given caller on, that were served. */
    double servedShareOfOthers(int firstCaller) {
        return servedShare(firstCaller, body -> body.startsWith(SINGLE));
    }

    private double servedShare(int firstCaller, Predicate<String> bodies) {
        List<VirtualCaller> callers = fleet.callersFrom(firstCaller).stream()
                .filter(caller -> bodies.test(caller.call().body()))
                .toList();
        return (double) callers.stream().filter(VirtualCaller::succeeded).count() / callers.size();
    }

    private Supplier<Content> soundRequests() {
        return () -> {
            int choice = random.nextInt(POPULAR_RATE + RARE_RATE + SINGLE_RATE);
            if (choice < POPULAR_RATE) {
                return new Content(PATH, POPULAR);
            }
            boolean rare = choice < POPULAR_RATE + RARE_RATE;
            return new Content(PATH, rare ? RARE : SINGLE + requests++);
        };
    }
}
