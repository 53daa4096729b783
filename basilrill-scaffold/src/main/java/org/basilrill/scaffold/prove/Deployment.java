package org.basilrill.scaffold.prove;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.basilrill.api.LogEvent;
import org.basilrill.scaffold.FreePorts;
import org.basilrill.scaffold.prove.ProcessGroup.Signal;
import org.basilrill.state.configuration.KeyHash;

/** Runs instances and fake targets as processes on loopback. The first three instances are replicas. Thread safe. */
final class Deployment implements AutoCloseable {
    static final int REPLICAS = 3;

    private static final String HOST = "127.0.0.1:";
    private static final Pattern LEADER =
            Pattern.compile(Pattern.quote(LogEvent.LEADER_ELECTED.toString()) + ".*term (\\d+)");
    private static final int INSTANCE_HEAP_MEGABYTES = 128;
    private static final int TARGET_HEAP_MEGABYTES = 64;
    private static final Duration START_LIMIT = Duration.ofSeconds(40);

    private final ScenarioEnvironment environment;
    private final DeploymentOptions deploymentOptions;
    private final LoadClient client = new LoadClient();
    private final OperatorClient operator = new OperatorClient(client);
    private final List<Integer> callerPorts;
    private final List<Integer> peerPorts;
    private final List<Integer> listenPorts;
    private final List<Integer> exchangePorts;
    private final Map<String, Relay> relays = new TreeMap<>();
    private final Map<String, Integer> targetPorts = new TreeMap<>();

    /**
     * Options of a deployment.
     *
     * @param instances number of instances
     * @param relayed whether all traffic between instances passes through relays
     * @param progressMillis longest time without progress of a target, in milliseconds
     * @param carriesExchanges whether instances carry exchanges with targets for each other
     */
    record DeploymentOptions(int instances, boolean relayed, int progressMillis, boolean carriesExchanges) {
        DeploymentOptions(int instances, boolean relayed, int progressMillis) {
            this(instances, relayed, progressMillis, false);
        }

        static DeploymentOptions of(int instances) {
            return new DeploymentOptions(instances, false, 10_000);
        }
    }

    Deployment(ScenarioEnvironment environment, DeploymentOptions deploymentOptions) throws IOException {
        this.environment = environment;
        this.deploymentOptions = deploymentOptions;
        List<Integer> ports = FreePorts.find(deploymentOptions.instances() * 4);
        callerPorts = ports.subList(0, deploymentOptions.instances());
        peerPorts = ports.subList(deploymentOptions.instances(), deploymentOptions.instances() * 2);
        exchangePorts = ports.subList(deploymentOptions.instances() * 3, deploymentOptions.instances() * 4);
        listenPorts = deploymentOptions.relayed()
                ? ports.subList(deploymentOptions.instances() * 2, deploymentOptions.instances() * 3)
                : peerPorts;
        if (deploymentOptions.relayed()) {
            List<String> names = instances();
            for (int index = 0; index < deploymentOptions.instances(); index++) {
                relays.put(names.get(index), new Relay(peerPorts.get(index), listenPorts.get(index), names));
            }
        }
    }

    /** Starts all instances, installs the rules as revision 1 and waits until they are in force on every instance. */
    void start(String rules) throws Exception {
        for (String instance : instances()) {
            startInstance(instance);
        }
        for (String instance : instances()) {
            awaitReady(instance);
        }
        Exchange accepted = operator.replace(address("entry-1"), 0, rules);
        ScenarioFailure.unless(accepted.ok(), "the first rules accepted", accepted.describe());
        awaitRevision(1, instances(), START_LIMIT);
    }

    LoadClient client() {
        return client;
    }

    OperatorClient operator() {
        return operator;
    }

    Relay relay(String instanceOrTarget) {
        return relays.get(instanceOrTarget);
    }

    List<String> instances() {
        return IntStream.rangeClosed(1, deploymentOptions.instances())
                .mapToObj(number -> "entry-" + number)
                .toList();
    }

    List<String> replicas() {
        return instances().subList(0, REPLICAS);
    }

    String address(String instance) {
        return HOST + callerPorts.get(instances().indexOf(instance));
    }

    List<String> addresses() {
        return instances().stream().map(this::address).toList();
    }

    Path dataFolder(String instance) {
        return environment.folder().resolve("data-" + instance);
    }

    /** Returns the lines that a process has logged so far. */
    List<String> log(String process) throws IOException {
        return Files.readAllLines(environment.folder().resolve(process + ".log"));
    }

    /** Returns the replica that, according to the logs, became leader in the latest term. */
    String leader() throws IOException {
        String leader = "";
        long latest = -1;
        for (String replica : replicas()) {
            for (String line : log(replica)) {
                Matcher matcher = LEADER.matcher(line);
                if (matcher.find() && Long.parseLong(matcher.group(1)) > latest) {
                    latest = Long.parseLong(matcher.group(1));
                    leader = replica;
                }
            }
        }
        ScenarioFailure.unless(latest >= 0, "a leader of the control log", "none");
        return leader;
    }

    void startInstance(String instance) throws IOException {
        int index = instances().indexOf(instance);
        boolean replica = index < REPLICAS;
        String founders = replicas().stream()
                .map(name -> "\"" + name + "\": \"" + HOST
                        + peerPorts.get(instances().indexOf(name)) + "\"")
                .collect(Collectors.joining(", "));
        List<String> lines = new ArrayList<>(List.of(
                "\"instance\": \"" + instance + "\"",
                "\"dataCentre\": \"dc-" + (index % 2 + 1) + "\"",
                "\"callerAddress\": \"" + address(instance) + "\"",
                "\"peerAddress\": \"" + HOST + peerPorts.get(index) + "\"",
                "\"peerListenAddress\": \"" + HOST + listenPorts.get(index) + "\"",
                "\"roles\": [\"entry\"" + (replica ? ", \"replica\"" : "") + "]",
                "\"replicas\": {" + founders + "}",
                "\"progressTimeoutMillis\": " + deploymentOptions.progressMillis(),
                "\"operatorKeyHash\": \"sha256:"
                        + KeyHash.of(RuleText.OPERATOR_KEY).hexadecimal() + "\""));
        if (deploymentOptions.carriesExchanges()) {
            lines.add("\"relayAddress\": \"" + HOST + exchangePorts.get(index) + "\"");
        }
        if (replica) {
            lines.add("\"dataFolder\": \"" + dataFolder(instance) + "\"");
        }
        Path settings = environment.folder().resolve(instance + ".json");
        Files.writeString(settings, "{" + String.join(",\n", lines) + "}\n");
        processes()
                .startJava(
                        instance,
                        INSTANCE_HEAP_MEGABYTES,
                        environment.daemonJar(),
                        List.of("serve", "--settings", settings.toString()));
    }

    /** Starts a fake target that announces itself to the given instances; options are passed to it unchanged. */
    void startTarget(String name, List<String> instances, String... options) throws IOException {
        startTarget(name, false, instances, options);
    }

    /** Starts a fake target behind a relay that has the name of the target. */
    void startRelayedTarget(String name, List<String> instances, String... options) throws IOException {
        startTarget(name, true, instances, options);
    }

    /** Requests the state of a fake target, with its counts of executions. */
    Exchange targetState(String name) throws InterruptedException {
        return client.send(
                HOST + targetPorts.get(name),
                new Exchange.Call("GET", "/debug/state", "", "", Optional.empty(), Duration.ofSeconds(5)));
    }

    ProcessGroup processes() {
        return environment.processes();
    }

    void kill(String process) throws Exception {
        processes().kill(process);
    }

    void signal(String process, Signal signal) throws Exception {
        processes().signal(process, signal);
    }

    void awaitReady(String instance) throws Exception {
        Waiting.until("readiness of " + instance, START_LIMIT, () -> {
            ScenarioFailure.unless(processes().isAlive(instance), instance + " running", "process ended");
            return client.send(address(instance), OperatorClient.get("/readyz")).ok();
        });
    }

    /** Waits until at least this revision is in force on the instances; returns the time waited. */
    Duration awaitRevision(long revision, List<String> instances, Duration limit) throws Exception {
        return Waiting.until("revision " + revision + " in force on " + instances, limit, () -> {
            for (String instance : instances) {
                Exchange status = operator.status(address(instance));
                if (!status.ok() || status.json().path("revision").asLong() < revision) {
                    return false;
                }
            }
            return true;
        });
    }

    /** Waits until the call succeeds through every instance. */
    void awaitService(Exchange.Call call, List<String> instances) throws Exception {
        for (String instance : instances) {
            Waiting.until(
                    call.path() + " served by " + instance,
                    START_LIMIT,
                    () -> client.send(address(instance), call).ok());
        }
    }

    @Override
    public void close() throws IOException {
        processes().close();
        for (Relay relay : relays.values()) {
            relay.close();
        }
    }

    private void startTarget(String name, boolean relayed, List<String> instances, String... options)
            throws IOException {
        List<Integer> ports = FreePorts.find(2);
        targetPorts.put(name, ports.get(0));
        int announced = relayed ? ports.get(1) : ports.get(0);
        if (relayed) {
            relays.put(name, new Relay(announced, ports.get(0), List.of()));
        }
        String addresses = instances.stream().map(this::address).collect(Collectors.joining(","));
        List<String> arguments = new ArrayList<>(
                List.of("target", "--name", name, "--instances", addresses, "--port", Integer.toString(ports.get(0))));
        arguments.addAll(List.of("--announced-port", Integer.toString(announced)));
        arguments.addAll(List.of(options));
        processes().startJava(name, TARGET_HEAP_MEGABYTES, environment.scaffoldJar(), arguments);
    }
}
