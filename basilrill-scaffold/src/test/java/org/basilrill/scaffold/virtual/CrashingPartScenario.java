package org.basilrill.scaffold.virtual;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Predicate;
import org.basilrill.api.ModelId;
import org.basilrill.scaffold.virtual.VirtualFleet.Content;

/**
 * Complete instances, engines of one model, and callers whose prompts consist of a system prompt that all share, a
 * document that some share, and a text of their own. Some documents crash each engine that begins to respond. Not
 * thread safe.
 */
final class CrashingPartScenario {
    static final Duration DEADLINE = Duration.ofSeconds(5);
    static final Duration DOWNTIME = Duration.ofSeconds(3);
    /** Crashes after which a part has to be known. */
    private static final int KNOWN_AFTER_CRASHES = 5;

    /** Time after which an instance that is in contact with the others has to know a verdict. */
    private static final Duration CONTACT = Duration.ofSeconds(3);

    /** Length of the blocks by which prompts are compared. */
    private static final int PART_LENGTH = 256;

    private static final String CRASHING = "crashing";
    private static final String SYSTEM = part("system");

    private final VirtualFleet fleet;
    private final Random random;
    private int requests;

    CrashingPartScenario(long seed, int instances, int engines) {
        fleet = new VirtualFleet(
                seed, instances, engines, Optional.empty(), Optional.of(new ModelId(VirtualOperators.MODEL)));
        random = new Random(seed);
        engines().forEach(engine -> engine.crashOn(body -> body.contains(CRASHING), DOWNTIME));
    }

    VirtualFleet fleet() {
        return fleet;
    }

    List<VirtualTarget> engines() {
        return fleet.targets();
    }

    /** Lets the engines run all requests without crashing from now on. */
    void mendEngines() {
        engines().forEach(engine -> engine.crashOn(body -> false, DOWNTIME));
    }

    /**
     * Sends requests at random instances.
     *
     * @param crashingShare share of the requests with a document that crashes engines
     * @param crashingDocuments number of such documents
     */
    void run(Duration duration, double requestsPerSecond, double crashingShare, int crashingDocuments) {
        fleet.run(duration, requestsPerSecond, DEADLINE, () -> content(crashingShare, crashingDocuments));
    }

    /** Returns the number of engines that requests crashed. */
    long crashes() {
        return engines().stream()
                .mapToLong(engine -> engine.crashNanos().size())
                .sum();
    }

    /** Crashes an engine for a while; no request is the cause. */
    void crashEngine(int index, Duration downtime) {
        VirtualTarget engine = engines().get(index);
        if (engine.isUp()) {
            engine.crash();
            fleet.time().schedule(downtime, engine::restart);
        }
    }

    /**
     * Returns how many requests with a crashing document arrived at engines after the time at which all instances have
     * to know it; zero if there were too few crashes.
     */
    long arrivalsAfterVerdict() {
        Optional<Long> lastCrash = engines().stream()
                .flatMap(engine -> engine.crashNanos().stream())
                .sorted()
                .skip(KNOWN_AFTER_CRASHES - 1)
                .findFirst();
        return lastCrash
                .map(nanos -> crashingArrivalsAfter(nanos + CONTACT.toNanos()))
                .orElse(0L);
    }

    /** Returns how many callers from the given index on were refused for a part of their prompts. */
    long refusedForPart(int firstCaller) {
        return callersFrom(firstCaller, body -> true).stream()
                .filter(caller -> caller.receivedText().contains("CRASH_SUSPECT"))
                .count();
    }

    private long crashingArrivalsAfter(long nanos) {
        return engines().stream()
                .flatMap(engine -> engine.executions().stream())
                .filter(execution ->
                        execution.nanos() > nanos && execution.body().contains(CRASHING))
                .count();
    }

    /** Returns the share of the sound requests from the given index on that were answered completely. */
    double soundServedShareFrom(int firstCaller) {
        List<VirtualCaller> sound = callersFrom(firstCaller, body -> !body.contains(CRASHING));
        return (double) sound.stream().filter(VirtualCaller::succeeded).count() / sound.size();
    }

    /** Returns the callers from the given index on whose bodies match. */
    List<VirtualCaller> callersFrom(int firstCaller, Predicate<String> bodies) {
        return fleet.callers().subList(firstCaller, fleet.callers().size()).stream()
                .filter(caller -> bodies.test(caller.call().body()))
                .toList();
    }

    /** Returns the callers from the given index on whose prompts have a crashing document. */
    List<VirtualCaller> crashingCallersFrom(int firstCaller) {
        return callersFrom(firstCaller, body -> body.contains(CRASHING));
    }

    private Content content(double crashingShare, int crashingDocuments) {
        boolean crashing = random.nextDouble() < crashingShare;
        String document = crashing ? CRASHING + random.nextInt(crashingDocuments) : "document" + random.nextInt(40);
        String prompt = SYSTEM + part(document) + part("request " + requests++);
        return new Content(
                "/v1/completions",
                String.format(
                        "{\"model\":\"%s\",\"max_tokens\":20,\"prompt\":\"%s\"}", VirtualOperators.MODEL, prompt));
    }

    private static String part(String text) {
        return text + "-".repeat(PART_LENGTH - text.length());
    }
}
