package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.Random;
import org.basilrill.api.InstanceId;

/** Complete instances, callers of one service, and targets of it that may state a request rate. Not thread safe. */
final class RateLimitScenario {
    private static final double[] RATES = {0.5, 1, 2, 5, 20};
    /** Time after a restart or an isolation until an instance has to know the limits again. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    private final VirtualFleet fleet;

    /** Times at which the requests of an instance do not count, because it was restarted or isolated. */
    private final List<Exemption> exemptions = new ArrayList<>();

    /** Starts the instances and announces the targets; the log has rules at the end. */
    RateLimitScenario(long seed, int instances, int targetCount) {
        fleet = new VirtualFleet(seed, instances, targetCount, Optional.of(VirtualOperators.SERVICE), Optional.empty());
    }

    VirtualTarget target(int index) {
        return fleet.target(index);
    }

    VirtualInstances deployment() {
        return fleet.deployment();
    }

    VirtualNetwork network() {
        return fleet.network();
    }

    VirtualTime time() {
        return fleet.time();
    }

    List<VirtualCaller> callers() {
        return fleet.callers();
    }

    /** Lets all targets with an index from {@code first} to {@code last} state a rate in every response. */
    void stateRate(int first, int last, double perSecond) {
        for (int index = first; index <= last; index++) {
            target(index).stateRate(OptionalDouble.of(perSecond), 1);
        }
    }

    /** Sends requests at random instances, this many per second, with the given deadline. */
    void run(Duration duration, double requestsPerSecond, Duration deadline) {
        fleet.run(
                duration,
                requestsPerSecond,
                deadline,
                () -> new VirtualFleet.Content(
                        "/v1/services/ledger/status",
                        "status " + fleet.callers().size()));
    }

    /** Returns the first violation of the rate that a target states, if there is one. */
    Optional<String> violation(int index) {
        return new RateLimitOracle(target(index), execution -> isExempted(execution.sender(), execution.nanos()))
                .violation(fleet.time().nanos());
    }

    /** Crashes and restarts or isolates a random instance, or changes the rate of a random target. */
    void applyRandomEvent() {
        Random random = fleet.random();
        VirtualInstances deployment = fleet.deployment();
        VirtualNetwork network = fleet.network();
        VirtualTime time = fleet.time();
        InstanceId instance = fleet.randomInstance();
        InstanceId victim = random.nextInt(3) == 0 ? deployment.leader().orElse(instance) : instance;
        long millis = 200 + random.nextInt(6000);
        switch (random.nextInt(4)) {
            case 0 -> {
                deployment.crash(victim);
                exempt(victim, millis);
                time.schedule(Duration.ofMillis(millis), () -> deployment.restart(victim));
            }
            case 1 -> {
                network.cutFromPeers(victim, true);
                exempt(victim, millis);
                time.schedule(Duration.ofMillis(millis), () -> network.cutFromPeers(victim, false));
            }
            case 2 -> stateRate(0, 0, RATES[random.nextInt(RATES.length)]);
            default ->
                target(1).stateRate(OptionalDouble.of(RATES[random.nextInt(RATES.length)]), 1 + random.nextInt(3));
        }
    }

    private void exempt(InstanceId instance, long millis) {
        long now = fleet.time().nanos();
        long until = now + Duration.ofMillis(millis).plus(CONTACT).toNanos();
        exemptions.add(new Exemption(instance, now, until));
    }

    private boolean isExempted(InstanceId instance, long nanos) {
        return exemptions.stream()
                .anyMatch(exemption -> exemption.instance().equals(instance)
                        && nanos >= exemption.fromNanos()
                        && nanos <= exemption.untilNanos());
    }

    /** A time in which the requests of an instance do not count. */
    private record Exemption(InstanceId instance, long fromNanos, long untilNanos) {}
}
