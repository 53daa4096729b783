package org.basilrill.scaffold.prove;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** Reads which revision each instance has in force, again and again. Thread safe. */
final class RevisionSampler {
    private static final Pattern MARKER = Pattern.compile("account marker-([a-z0-9-]+) ");

    private final Deployment deployment;
    private final List<Sample> samples = new ArrayList<>();
    private final Map<Long, String> texts = new HashMap<>();

    /**
     * What one instance had in force.
     *
     * @param life counts the starts of the instance
     * @param current whether the instance had confirmed that and took requests
     */
    record Sample(String instance, int life, long sentNanos, long revision, boolean current) {}

    RevisionSampler(Deployment deployment) {
        this.deployment = deployment;
    }

    /** Takes one sample of an instance; there is none if it does not answer. */
    void sample(String instance, int life) throws InterruptedException {
        Exchange status = deployment.operator().status(deployment.address(instance));
        if (status.ok()) {
            JsonNode answer = status.json();
            long revision = answer.path("revision").asLong();
            boolean current = answer.path("current").asBoolean();
            add(new Sample(instance, life, status.sentNanos(), revision, current));
        }
        Exchange rules = deployment.operator().rules(deployment.address(instance));
        if (rules.ok()) {
            text(instance, rules.json());
        }
    }

    synchronized List<Sample> samples() {
        return List.copyOf(samples);
    }

    synchronized Map<Long, String> texts() {
        return Map.copyOf(texts);
    }

    /** Fails if a revision went back within one life of an instance, or while the instance took requests. */
    synchronized void requireNoReversal() {
        Map<String, Sample> latest = new HashMap<>();
        Map<String, Long> highest = new HashMap<>();
        for (Sample sample : samples) {
            Sample before = latest.put(sample.instance(), sample);
            long confirmed = highest.getOrDefault(sample.instance(), 0L);
            boolean sameLife = before != null && before.life() == sample.life();
            ProofFailure.unless(
                    !sameLife || sample.revision() >= before.revision(),
                    "no earlier revision at " + sample.instance(),
                    before + " before " + sample);
            ProofFailure.unless(
                    !sample.current() || sample.revision() >= confirmed,
                    "at least revision " + confirmed + " at " + sample.instance() + " once it takes requests",
                    sample);
            if (sample.current()) {
                highest.put(sample.instance(), sample.revision());
            }
        }
    }

    private synchronized void add(Sample sample) {
        samples.add(sample);
    }

    private synchronized void text(String instance, JsonNode rules) {
        Matcher matcher = MARKER.matcher(rules.path("text").asText());
        long revision = rules.path("revision").asLong();
        if (matcher.find()) {
            String other = texts.putIfAbsent(revision, matcher.group(1));
            ProofFailure.unless(
                    other == null || other.equals(matcher.group(1)),
                    "one text of revision " + revision + " on all instances",
                    other + " and, at " + instance + ", " + matcher.group(1));
        }
    }
}
