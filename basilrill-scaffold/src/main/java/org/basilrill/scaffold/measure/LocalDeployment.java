package org.basilrill.scaffold.measure;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.basilrill.state.configuration.KeyHash;

/**
 * Instances and fake targets as processes on loopback, with their data in a temporary folder. Closing it ends these
 * processes and deletes the folder. Not thread safe, except for the methods that send requests to instances.
 */
final class LocalDeployment implements AutoCloseable {
    static final String ACCOUNT_KEY = "measurement-account-key";

    private static final String OPERATOR_KEY = "measurement-operator-key";
    private static final String CLASS_PATH = System.getProperty("java.class.path");
    private static final Duration AWAIT_TIMEOUT = Duration.ofSeconds(60);
    private static final Pattern ELECTION_LOG_LINE = Pattern.compile("E200 .*term (\\d+)");
    private static final ObjectMapper MAPPER = new ObjectMapper();

    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final Path folder;
    private final List<Integer> callerPorts;
    private final List<Integer> peerPorts;
    private final List<Process> processes = new ArrayList<>();
    private final List<Process> targets = new ArrayList<>();
    private final int replicas;

    /** Starts instances, of which the first ones are replicas, and waits until all are ready. */
    LocalDeployment(int instances, int replicas) throws IOException, InterruptedException {
        this.replicas = replicas;
        folder = Files.createTempDirectory("basilrill-measure");
        List<Integer> ports = freePorts(2 * instances);
        callerPorts = ports.subList(0, instances);
        peerPorts = ports.subList(instances, 2 * instances);
        for (int index = 0; index < instances; index++) {
            Files.writeString(folder.resolve(name(index) + ".json"), settings(index));
            processes.add(launch(index));
        }
        for (int index = 0; index < instances; index++) {
            awaitReady(index);
        }
    }

    static List<Integer> freePorts(int count) throws IOException {
        List<ServerSocket> sockets = new ArrayList<>();
        for (int index = 0; index < count; index++) {
            sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
        }
        List<Integer> ports = sockets.stream().map(ServerSocket::getLocalPort).collect(Collectors.toList());
        for (ServerSocket socket : sockets) {
            socket.close();
        }
        return ports;
    }

    int size() {
        return processes.size();
    }

    String name(int index) {
        return String.format("entry-%02d", index + 1);
    }

    String address(int index) {
        return "127.0.0.1:" + callerPorts.get(index);
    }

    int peerPort(int index) {
        return peerPorts.get(index);
    }

    long processId(int index) {
        return processes.get(index).pid();
    }

    ProcessUsage usage(int index) {
        return ProcessUsage.of(processId(index));
    }

    boolean isReplica(int index) {
        return index < replicas;
    }

    /** Starts a fake target that announces itself to all instances; returns its address. */
    String startTarget(String... options) throws IOException {
        int port = freePorts(1).get(0);
        String addresses = IntStream.range(0, size()).mapToObj(this::address).collect(Collectors.joining(","));
        // Without nodelay, Nagle's algorithm delays responses of the fake target until a delayed TCP ACK of 40 ms.
        List<String> command = new ArrayList<>(List.of(
                "java",
                "-Xmx256m",
                "-XX:+UseSerialGC",
                "-Dsun.net.httpserver.nodelay=true",
                "-cp",
                CLASS_PATH,
                "org.basilrill.scaffold.Main",
                "target",
                "--instances",
                addresses,
                "--port",
                Integer.toString(port)));
        command.addAll(List.of(options));
        targets.add(start(command, "target-" + port));
        return "127.0.0.1:" + port;
    }

    long targetProcessId(int number) {
        return targets.get(number).pid();
    }

    void kill(int index) throws InterruptedException {
        processes.get(index).destroyForcibly().waitFor();
    }

    void restart(int index) throws IOException {
        processes.set(index, launch(index));
    }

    void awaitReady(int index) throws InterruptedException {
        await(
                "readiness of " + name(index),
                () -> status(request(index, "/readyz").build()) == 200);
    }

    void awaitRevision(int index, long revision) throws InterruptedException {
        await(
                "revision " + revision + " at " + name(index),
                () -> getJson(index, "/admin/status").path("revision").asLong() >= revision);
    }

    JsonNode getJson(int index, String path) throws IOException, InterruptedException {
        return MAPPER.readTree(client.send(request(index, path).build(), HttpResponse.BodyHandlers.ofString())
                .body());
    }

    /** Replaces the rules through an instance; returns the status code of the response. */
    int applyRules(int index, long revision, String rules) throws IOException, InterruptedException {
        return status(request(index, "/admin/rules?revision=" + revision)
                .PUT(HttpRequest.BodyPublishers.ofString(rules))
                .build());
    }

    /** Returns the size of a replica's data folder in bytes. */
    long dataBytes(int index) throws IOException {
        try (Stream<Path> files = Files.walk(folder.resolve("data-" + name(index)))) {
            return files.mapToLong(
                            file -> file.toFile().isFile() ? file.toFile().length() : 0)
                    .sum();
        }
    }

    /** Returns the index of the running replica with the latest election in its log, or -1. */
    int leader() throws IOException {
        int leader = -1;
        long highestTerm = -1;
        for (int index = 0; index < replicas; index++) {
            Matcher elections = ELECTION_LOG_LINE.matcher(Files.readString(folder.resolve(name(index) + ".log")));
            while (elections.find()) {
                long term = Long.parseLong(elections.group(1));
                if (term > highestTerm && processes.get(index).isAlive()) {
                    highestTerm = term;
                    leader = index;
                }
            }
        }
        return leader;
    }

    /** Returns rules whose account rates no measurement reaches; {@code number} makes the text unique. */
    static String rules(int accounts, long number) {
        StringBuilder rules = new StringBuilder("# change " + number + "\n");
        for (int account = 0; account < accounts; account++) {
            rules.append(
                    String.format("account desk-%d rate 50000000 burst 500000000 # asked by measurement%n", account));
        }
        return rules.append("key desk-0 sha256:" + KeyHash.of(ACCOUNT_KEY).hexadecimal() + " # asked by measurement\n")
                .append("model medal-match memory 1GiB copies 1..4 version 1 # asked by measurement\n")
                .append("service ledger priority 0 order POST /orders # asked by measurement\n")
                .toString();
    }

    static void await(String description, Condition condition) throws InterruptedException {
        long deadline = System.nanoTime() + AWAIT_TIMEOUT.toNanos();
        while (System.nanoTime() < deadline) {
            try {
                if (condition.isMet()) {
                    return;
                }
            } catch (IOException exception) {
                // The process does not accept connections yet.
            }
            TimeUnit.MILLISECONDS.sleep(2);
        }
        throw new IllegalStateException(description + " did not happen within " + AWAIT_TIMEOUT);
    }

    @Override
    public void close() {
        Stream.concat(processes.stream(), targets.stream()).forEach(Process::destroyForcibly);
        try {
            for (Process process : processes) {
                process.waitFor();
            }
            try (Stream<Path> files = Files.walk(folder)) {
                files.sorted(Comparator.reverseOrder())
                        .forEach(file -> file.toFile().delete());
            }
        } catch (IOException exception) {
            throw new UncheckedIOException("folder " + folder + " cannot be deleted", exception);
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
        }
    }

    private HttpRequest.Builder request(int index, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + address(index) + path))
                .timeout(Duration.ofSeconds(6))
                .header("Authorization", "Bearer " + OPERATOR_KEY);
    }

    private int status(HttpRequest request) throws IOException, InterruptedException {
        return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }

    private Process launch(int index) throws IOException {
        List<String> command = List.of(
                "java",
                "-Xmx128m",
                "-XX:+UseSerialGC",
                "-cp",
                CLASS_PATH,
                "org.basilrill.daemon.Main",
                "serve",
                "--settings",
                folder.resolve(name(index) + ".json").toString());
        return start(command, name(index));
    }

    private Process start(List<String> command, String logName) throws IOException {
        return new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(
                        folder.resolve(logName + ".log").toFile()))
                .start();
    }

    private String settings(int index) {
        String founders = IntStream.range(0, replicas)
                .mapToObj(replica -> "\"" + name(replica) + "\": \"127.0.0.1:" + peerPorts.get(replica) + "\"")
                .collect(Collectors.joining(", "));
        String roles = isReplica(index)
                ? "\"roles\": [\"entry\", \"replica\"], \"dataFolder\": \"" + folder.resolve("data-" + name(index))
                        + "\""
                : "\"roles\": [\"entry\"]";
        return String.format(
                "{\"instance\": \"%s\", \"dataCentre\": \"dc-%d\", \"callerAddress\": \"%s\","
                        + " \"peerAddress\": \"127.0.0.1:%d\", %s, \"replicas\": {%s},"
                        + " \"operatorKeyHash\": \"sha256:%s\"}",
                name(index),
                index % 2 + 1,
                address(index),
                peerPorts.get(index),
                roles,
                founders,
                KeyHash.of(OPERATOR_KEY).hexadecimal());
    }

    /** A condition to wait for. */
    @FunctionalInterface
    interface Condition {
        /** Returns whether the condition is met; an {@link IOException} counts as not met. */
        boolean isMet() throws IOException, InterruptedException;
    }
}
