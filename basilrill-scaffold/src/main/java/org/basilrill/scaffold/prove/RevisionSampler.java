package org.basilrill.scaffold.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Records samples of the revision that each instance has in force. Thread safe. */
final class RevisionSampler {
    private static final Pattern MARKER = Pattern.compile("account marker-([a-z0-9-]+) ");

    private final Deployment deployment;
    private final List<Sample> samples = new ArrayList<>();
    private final Map<Long, String> texts = new HashMap<>();

    /**
     * The revision that one instance had in force.
     *
     * @param restartCount number of restarts of the instance so far
     * @param current whether the instance reported its state as current and accepted requests
     */
    record Sample(String instance, int restartCount, long sentNanos, long revision, boolean current) {}

    RevisionSampler(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Takes one sample of an instance, unless it does not respond. */
    void sample(String instance, int restartCount) throws InterruptedException {
        Exchange status = deployment.operator().status(deployment.address(instance));
        if (status.ok()) {
            JsonNode response = status.json();
            long revision = response.path("revision").asLong();
            boolean current = response.path("current").asBoolean();
            add(new Sample(instance, restartCount, status.sentNanos(), revision, current));
        }
        Exchange rules = deployment.operator().rules(deployment.address(instance));
        if (rules.ok()) {
            recordText(instance, rules.json());
        }
    }

    synchronized List<Sample> samples() {
        return List.copyOf(samples);
    }

    synchronized Map<Long, String> texts() {
        return Map.copyOf(texts);
    }

    /** Fails if a revision decreased within one process of an instance, or while the instance accepted requests. */
    synchronized void requireNoReversal() {
        Map<String, Sample> latest = new HashMap<>();
        Map<String, Long> highest = new HashMap<>();
        for (Sample sample : samples) {
            Sample before = latest.put(sample.instance(), sample);
            long confirmed = highest.getOrDefault(sample.instance(), 0L);
            boolean sameProcess = before != null && before.restartCount() == sample.restartCount();
            ScenarioFailure.unless(
                    !sameProcess || sample.revision() >= before.revision(),
                    "no earlier revision at " + sample.instance(),
                    before + " before " + sample);
            ScenarioFailure.unless(
                    !sample.current() || sample.revision() >= confirmed,
                    "at least revision " + confirmed + " at " + sample.instance() + " once it accepts requests",
                    sample);
            if (sample.current()) {
                highest.put(sample.instance(), sample.revision());
            }
        }
    }

    private synchronized void add(Sample sample) {
        samples.add(sample);
    }

    private synchronized void recordText(String instance, JsonNode rules) {
        Matcher matcher = MARKER.matcher(rules.path("text").asText());
        long revision = rules.path("revision").asLong();
        if (matcher.find()) {
            String other = texts.putIfAbsent(revision, matcher.group(1));
            ScenarioFailure.unless(
                    other == null || other.equals(matcher.group(1)),
                    "one text of revision " + revision + " on all instances",
                    other + " and, at " + instance + ", " + matcher.group(1));
        }
    }
}
