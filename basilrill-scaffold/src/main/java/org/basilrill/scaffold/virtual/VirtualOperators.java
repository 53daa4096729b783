package org.basilrill.scaffold.virtual;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.basilrill.api.AccountId;
import org.basilrill.api.InstanceId;
import org.basilrill.protocol.administration.AdministrationHandler;
import org.basilrill.protocol.caller.HeaderField;
import org.basilrill.protocol.caller.PlainResponse;
import org.basilrill.protocol.caller.RequestHead;
import org.basilrill.state.configuration.KeyHash;
import org.basilrill.state.configuration.Rules;
import org.basilrill.state.control.ControlStateMachine;

/**
 * Simulates operators who read and replace the rules concurrently through any instance. They revoke and add keys and
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
    private final Map<String, Long> activatedNanos = new HashMap<>();
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

    /** Installs the first revision of the rules. */
    public void installFirstRules() {
        installFirstRules("");
    }

    /** Installs the first revision of the rules, with further fields of the ample account. */
    public void installFirstRules(String fieldsOfAccount) {
        List<String> lines = new ArrayList<>(List.of(
                "account ample rate 1000000 burst 1000000 weight 1 " + fieldsOfAccount + " # asked by Ana",
                "account limited rate 500 burst 1000 weight 1 # asked by Ana",
                "operator ana role admin sha256:" + KeyHash.of(OPERATOR_KEY).hexadecimal() + " # asked by Ana",
                "model medal-match memory 1GiB copies 1..2 version 1 # asked by Ana",
                "service ledger priority 0 order POST /orders # asked by Ana"));
        for (int number = 0; number < 4; number++) {
            lines.add(newKey());
        }
        replace(deployment.replicas().get(0), 0, lines);
    }

    /** Reads the rules and, up to 300 ms later, may replace the revision read; does nothing if no instance runs. */
    public void changeRules() {
        anyRunning().ifPresent(this::readAndReplace);
    }

    private void readAndReplace(InstanceId instance) {
        RevisionHistory.Operation operation = history.read(time.nanos());
        sendRequest("GET", Optional.empty(), "", instance).thenAccept(response -> {
            if (response.status() != REQUEST_SUCCEEDED) {
                return;
            }
            JsonNode body = parse(response);
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

    /**
     * Records new revisions, and keys revoked by them, from the state machines of the replicas. Must be called often,
     * because a revision counts as accepted from the first call that sees it.
     */
    public void recordAcceptedRevisions() {
        for (ControlStateMachine machine : deployment.stateMachines()) {
            Rules rules = machine.view().rules();
            if (rules.revision() > newest.revision()) {
                newest = rules;
                acceptedNanos.put(rules.revision(), time.nanos());
                recordKeyChanges();
                Rules.Account limited = rules.accounts().get(LIMITED);
                spending.recordLimit(time.nanos(), limited.tokensPerSecond(), limited.burstTokens());
            }
        }
    }

    /** Returns the highest revision accepted at least the given time ago; 0 if there is none. */
    public long highestRevisionAcceptedBefore(Duration ago) {
        long until = time.nanos() - ago.toNanos();
        return acceptedNanos.entrySet().stream()
                .filter(entry -> entry.getValue() <= until)
                .mapToLong(Map.Entry::getKey)
                .max()
                .orElse(0);
    }

    /** Returns one of the last 10 keys created, valid or revoked, at random. */
    public String anyKey() {
        List<String> all = List.copyOf(keys.keySet());
        int recentCount = Math.min(all.size(), 10);
        return all.get(all.size() - 1 - random.nextInt(recentCount));
    }

    /** Returns a key that is valid in the newest rules. */
    public String validKey() {
        return keys.keySet().stream()
                .filter(key -> newest.accountOf(keys.get(key)).isPresent())
                .findAny()
                .orElseThrow();
    }

    /** Returns the time at which the first revision with the key was accepted, if one was. */
    public Optional<Long> activatedNanos(String key) {
        return Optional.ofNullable(activatedNanos.get(key));
    }

    /** Returns the time at which the key was revoked, if it was. */
    public Optional<Long> revokedNanos(String key) {
        return Optional.ofNullable(revokedNanos.get(key));
    }

    public RevisionHistory history() {
        return history;
    }

    private void recordKeyChanges() {
        keys.forEach((key, hash) -> {
            boolean valid = newest.accountOf(hash).isPresent();
            if (valid) {
                activatedNanos.putIfAbsent(key, time.nanos());
            } else if (activatedNanos.containsKey(key)) {
                revokedNanos.putIfAbsent(key, time.nanos());
            }
        });
    }

    private void replace(InstanceId instance, long revision, List<String> lines) {
        String text = String.join("\n", lines) + "\n# change " + changes++;
        RevisionHistory.Operation operation = history.write(time.nanos(), revision, text);
        sendRequest("PUT", Optional.of("revision=" + revision), text, instance).thenAccept(response -> {
            if (response.status() == REQUEST_SUCCEEDED) {
                operation.accepted(
                        time.nanos(),
                        parse(response).get(AdministrationHandler.REVISION).asLong());
            } else if (response.status() == CONFLICT) {
                operation.conflicted(
                        time.nanos(),
                        parse(response).get(AdministrationHandler.REVISION).asLong());
            }
        });
    }

    private List<String> change(List<String> lines) {
        lines.removeIf(line -> line.startsWith("#"));
        List<String> currentKeys =
                lines.stream().filter(line -> line.startsWith("key ")).toList();
        switch (random.nextInt(3)) {
            case 0 -> {
                lines.remove(currentKeys.get(random.nextInt(currentKeys.size())));
                lines.add(newKey());
            }
            case 1 -> {
                lines.removeIf(line -> line.startsWith("account limited"));
                int rate = 200 + random.nextInt(800);
                lines.add("account limited rate " + rate + " burst " + 2 * rate + " weight 1 # asked by Luis");
            }
            default -> {
                // Only the comment at the end of the text changes.
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

    private CompletableFuture<PlainResponse> sendRequest(
            String method, Optional<String> query, String body, InstanceId instance) {
        List<HeaderField> headers = List.of(new HeaderField(RequestHead.AUTHORIZATION, "Bearer " + OPERATOR_KEY));
        return deployment
                .administration(instance)
                .handle(
                        new RequestHead(method, AdministrationHandler.RULES, query, headers),
                        body.getBytes(StandardCharsets.UTF_8));
    }

    /** Returns the text of the rules in the response to an operator who read them. */
    static String textOf(PlainResponse rules) {
        return parse(rules).get(AdministrationHandler.TEXT).asText();
    }

    private static JsonNode parse(PlainResponse response) {
        try {
            return MAPPER.readTree(new String(response.body(), StandardCharsets.UTF_8));
        } catch (JsonProcessingException exception) {
            throw new IllegalStateException("response to an operator is not JSON", exception);
        }
    }
}
