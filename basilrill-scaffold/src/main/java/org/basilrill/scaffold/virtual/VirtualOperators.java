package org.basilrill.scaffold.virtual;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.protocol.administration.AdministrationHandler;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainAnswer;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlStateMachine;

/**
 * Operators who read the rules and replace them at the same time through any instance: they revoke and add keys and
 * change the rate of the limited account. Not thread safe.
 */
public final class VirtualOperators {
    public static final String OPERATOR_KEY = "brk-operator-0123456789abcdef";
    public static final AccountId AMPLE = new AccountId("ample");
    public static final AccountId LIMITED = new AccountId("limited");
    public static final String MODEL = "medal-match";
    public static final String SERVICE = "ledger";

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int REQUEST_SUCCEEDED = 200;
    private static final int CONFLICT = 409;

    private final VirtualTime time;
    private final Random random;
    private final VirtualInstances deployment;
    private final SpendingOracle spending;
    private final RevisionHistory history = new RevisionHistory();
    private final Map<String, Long> revokedNanos = new HashMap<>();
    private final Set<String> wereInForce = new HashSet<>();
    private final Map<String, KeyHash> keys = new LinkedHashMap<>();
    private final TreeMap<Long, Long> acceptedNanos = new TreeMap<>();
    private Rules newest = Rules.empty();
    private int changes;

    public VirtualOperators(VirtualTime time, Random random, VirtualInstances deployment, SpendingOracle spending) {
        this.time = time;
        this.random = random;
        this.deployment = deployment;
        this.spending = spending;
    }

    /** Installs the first rules. */
    public void begin() {
        List<String> lines = new ArrayList<>(List.of(
                "account ample rate 1000000 burst 1000000 weight 1 # asked by Ana",
                "account limited rate 500 burst 1000 weight 1 # asked by Ana",
                "operator ana role admin sha256:" + KeyHash.of(OPERATOR_KEY).hexadecimal() + " # asked by Ana",
                "model medal-match memory 1GiB copies 1..2 version 1 # asked by Ana",
                "service ledger priority 0 order POST /orders # asked by Ana"));
        for (int number = 0; number < 4; number++) {
            lines.add(newKey());
        }
        replace(deployment.replicas().get(0), 0, lines);
    }

    /** One operator reads the rules and, a moment later, replaces what was read. */
    public void act() {
        anyRunning().ifPresent(this::readAndReplace);
    }

    private void readAndReplace(InstanceId instance) {
        RevisionHistory.Operation operation = history.read(time.nanos());
        ask("GET", Optional.empty(), "", instance).thenAccept(answer -> {
            if (answer.status() != REQUEST_SUCCEEDED) {
                return;
            }
            JsonNode body = parse(answer);
            long revision = body.get(AdministrationHandler.REVISION).asLong();
            String text = body.get(AdministrationHandler.TEXT).asText();
            operation.read(time.nanos(), revision, text);
            if (revision > 0 && random.nextBoolean()) {
                List<String> changed = change(new ArrayList<>(text.lines().toList()));
                time.schedule(
                        Duration.ofMillis(random.nextInt(300)),
                        () -> anyRunning().ifPresent(other -> replace(other, revision, changed)));
            }
        });
    }

    /** Notes what the replicas hold; called often, because a revision counts as accepted from the first call on. */
    public void observe() {
        for (ControlStateMachine machine : deployment.machines()) {
            Rules rules = machine.view().rules();
            if (rules.revision() > newest.revision()) {
                newest = rules;
                acceptedNanos.put(rules.revision(), time.nanos());
                noteKeys();
                Rules.Account limited = rules.accounts().get(LIMITED);
                spending.limit(time.nanos(), limited.tokensPerSecond(), limited.burstTokens());
            }
        }
    }

    /** Returns the newest revision accepted at least that long ago; 0 if there is none. */
    public long revisionAccepted(Duration ago) {
        long until = time.nanos() - ago.toNanos();
        return acceptedNanos.entrySet().stream()
                .filter(entry -> entry.getValue() <= until)
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    /** Returns any key that was or is in force, revoked ones as often as others. */
    public String anyKey() {
        List<String> all = List.copyOf(keys.keySet());
        int newestOnes = Math.min(all.size(), 10);
        return all.get(all.size() - 1 - random.nextInt(newestOnes));
    }

    /** Returns a key in force. */
    public String validKey() {
        return keys.keySet().stream()
                .filter(key -> newest.accountOf(keys.get(key)).isPresent())
                .findAny()
                .orElseThrow();
    }

    /** Returns when the key was revoked, if it was. */
    public Optional<Long> revokedNanos(String key) {
        return Optional.ofNullable(revokedNanos.get(key));
    }

    public RevisionHistory history() {
        return history;
    }

    private void noteKeys() {
        keys.forEach((key, hash) -> {
            boolean valid = newest.accountOf(hash).isPresent();
            if (valid) {
                wereInForce.add(key);
            } else if (wereInForce.contains(key)) {
                revokedNanos.putIfAbsent(key, time.nanos());
            }
        });
    }

    private void replace(InstanceId instance, long revision, List<String> lines) {
        String text = String.join("\n", lines) + "\n# change " + changes++;
        RevisionHistory.Operation operation = history.write(time.nanos(), revision, text);
        ask("PUT", Optional.of("revision=" + revision), text, instance).thenAccept(answer -> {
            if (answer.status() == REQUEST_SUCCEEDED) {
                operation.accepted(
                        time.nanos(),
                        parse(answer).get(AdministrationHandler.REVISION).asLong());
            } else if (answer.status() == CONFLICT) {
                operation.conflicted(
                        time.nanos(),
                        parse(answer).get(AdministrationHandler.REVISION).asLong());
            }
        });
    }

    private List<String> change(List<String> lines) {
        lines.removeIf(line -> line.startsWith("#"));
        List<String> present =
                lines.stream().filter(line -> line.startsWith("key ")).toList();
        switch (random.nextInt(3)) {
            case 0 -> {
                lines.remove(present.get(random.nextInt(present.size())));
                lines.add(newKey());
            }
            case 1 -> {
                lines.removeIf(line -> line.startsWith("account limited"));
                int rate = 200 + random.nextInt(800);
                lines.add("account limited rate " + rate + " burst " + 2 * rate + " weight 1 # asked by Luis");
            }
            default -> {
                // Only the comment at the end changes.
            }
        }
        return lines;
    }

    private String newKey() {
        String key = String.format("brk-caller-%032d", keys.size());
        keys.put(key, KeyHash.of(key));
        return "key ample sha256:" + keys.get(key).hexadecimal() + " # asked by Ana";
    }

    private Optional<InstanceId> anyRunning() {
        List<InstanceId> running = deployment.instances().stream()
                .filter(id -> deployment.running(id).isPresent())
                .toList();
        return running.isEmpty() ? Optional.empty() : Optional.of(running.get(random.nextInt(running.size())));
    }

    private CompletableFuture<PlainAnswer> ask(
            String method, Optional<String> query, String body, InstanceId instance) {
        List<HeaderField> headers = List.of(new HeaderField(RequestHead.AUTHORIZATION, "Bearer " + OPERATOR_KEY));
        return deployment
                .administration(instance)
                .answer(
                        new RequestHead(method, AdministrationHandler.RULES, query, headers),
                        body.getBytes(StandardCharsets.UTF_8));
    }

    private static JsonNode parse(PlainAnswer answer) {
        try {
            return MAPPER.readTree(new String(answer.body(), StandardCharsets.UTF_8));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("an operator got no JSON", exception);
        }
    }
}
