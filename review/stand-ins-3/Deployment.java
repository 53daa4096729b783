import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Instances as separate processes on loopback addresses, one address each with the same ports. They are started with
 * the run line of deploy/system.toml and with settings that are made from deploy/settings.json, with the bounds of the
 * site cuentas-esperanza. All processes are ended by {@link #close}.
 */
final class Deployment implements AutoCloseable {
    private static final Path ROOT = Path.of("").toAbsolutePath();
    private static final String SETTINGS_PATH = "/etc/basilrill/boot.conf";
    /** The template names this port, so that two deployments on one address would meet at it. */
    private static final int METRICS_PORT = 9464;
    private static final Duration END_WAIT = Duration.ofSeconds(5);
    private static final Pattern SECTION = Pattern.compile("\\{\\{#([\\w.]+)}}(.*?)\\{\\{/\\1}}", Pattern.DOTALL);
    private static final Pattern VALUE = Pattern.compile("\\{\\{([\\w.]+)(?:\\|json)?}}");

    private final Path folder;
    private final int count;
    private final String network;
    private final int[] ports;
    private final Map<Integer, Process> processes = new ConcurrentHashMap<>();
    private List<Integer> seeds = List.of(1, 2, 3);

    Deployment(int count) throws IOException {
        this.count = count;
        folder = Files.createTempDirectory("review-");
        network = freeNetwork();
        ports = freePorts(6);
        Runtime.getRuntime().addShutdownHook(new Thread(() -> processes.values().forEach(Process::destroyForcibly)));
    }

    /** Replaces the seeds in the settings that are written from now on. */
    void useSeeds(List<Integer> instances) {
        seeds = instances;
    }

    /** Returns the address of an instance; instances are numbered from 1. */
    String ip(int instance) {
        return network + instance;
    }

    int frontPort() {
        return ports[0];
    }

    int readyPort() {
        return ports[1];
    }

    int controlPort() {
        return ports[2];
    }

    int directoryPort() {
        return ports[3];
    }

    List<Integer> instances() {
        return IntStream.rangeClosed(1, count).boxed().toList();
    }

    List<String> controlAddresses() {
        return instances().stream().map(number -> ip(number) + ":" + controlPort()).toList();
    }

    /** Starts an instance; its output goes to a file in the folder of the run. */
    void start(int instance, boolean bootstrap) throws IOException {
        Path settings = writeSettings(instance, bootstrap);
        List<String> command = new ArrayList<>();
        for (String word : runLine().split(" ")) {
            command.add(word.equals(SETTINGS_PATH) ? settings.toString() : word);
        }
        Process process = new ProcessBuilder(command)
                .directory(ROOT.toFile())
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log(instance).toFile()))
                .start();
        processes.put(instance, process);
    }

    /** Writes the settings file of an instance, as the platform does at each start and when they change. */
    Path writeSettings(int instance, boolean bootstrap) throws IOException {
        Path settings = folder.resolve("settings-" + instance + ".json");
        String template = Files.readString(ROOT.resolve("deploy/settings.json"));
        Files.writeString(settings, render(template, fields(instance, bootstrap)));
        return settings;
    }

    Path log(int instance) {
        return folder.resolve("instance-" + instance + ".log");
    }

    Process process(int instance) {
        return processes.get(instance);
    }

    /** Sends a signal to the process of an instance, by its id. */
    void signal(int instance, String name) throws Exception {
        long pid = processes.get(instance).pid();
        new ProcessBuilder("kill", "-" + name, Long.toString(pid)).start().waitFor();
    }

    /** Waits until all instances say that they are ready. */
    void awaitReady(Duration limit) throws Exception {
        long end = System.nanoTime() + limit.toNanos();
        for (int instance : instances()) {
            while (Http.status(ip(instance), readyPort(), "GET", "/readyz", Map.of(), "") != 200) {
                if (System.nanoTime() - end > 0) {
                    throw new CannotRun("instance " + instance + " is not ready after " + limit.toSeconds() + " s");
                }
                Thread.sleep(100);
            }
        }
    }

    /** Installs a configuration at an instance, as the operator does; sends it again until it is acknowledged. */
    void configure(int instance, String configuration) throws Exception {
        for (int attempt = 0; attempt < 40; attempt++) {
            int status = Http.status(
                    ip(instance),
                    controlPort(),
                    "POST",
                    "/Configuration.Replace",
                    Map.of("Content-Type", "application/json"),
                    configuration);
            if (status == 200) {
                return;
            }
            Thread.sleep(250);
        }
        throw new CannotRun("the configuration was not acknowledged");
    }

    @Override
    public void close() throws IOException {
        for (Process process : processes.values()) {
            process.destroyForcibly();
        }
        for (Process process : processes.values()) {
            try {
                process.waitFor(END_WAIT.toMillis(), TimeUnit.MILLISECONDS);
            } catch (InterruptedException exception) {
                Thread.currentThread().interrupt();
            }
        }
        if (System.getenv("KEEP_LOGS") != null) {
            System.err.println("logs in " + folder);
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            for (Path file : files.sorted(Comparator.reverseOrder()).toList()) {
                Files.deleteIfExists(file);
            }
        }
    }

    private static String runLine() throws IOException {
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(Files.readString(ROOT.resolve("deploy/system.toml")));
        if (!matcher.find()) {
            throw new CannotRun("deploy/system.toml has no run line");
        }
        return matcher.group(1);
    }

    private Map<String, String> fields(int instance, boolean bootstrap) {
        Map<String, String> fields = new LinkedHashMap<>();
        fields.put("ip", ip(instance));
        fields.put("internal_ports.0", Integer.toString(ports[4]));
        fields.put("internal_ports.1", Integer.toString(ports[5]));
        fields.put("zone", "zone-" + instance);
        fields.put("region", "valley");
        fields.put(
                "zones",
                instances().stream().map(number -> "\"zone-" + number + "\": \"valley\"").collect(Collectors.joining(", ", "{", "}")));
        fields.put("listen.front", ip(instance) + ":" + frontPort());
        fields.put("listen.ready", ip(instance) + ":" + readyPort());
        fields.put("listen.control", ip(instance) + ":" + controlPort());
        fields.put("listen.directory", ip(instance) + ":" + directoryPort());
        fields.put("seeds", seeds.stream().map(seed -> '"' + ip(seed) + ":" + controlPort() + '"').collect(Collectors.joining(", ", "[", "]")));
        fields.put("bootstrap", Boolean.toString(bootstrap));
        fields.put("data_dir", folder.resolve("data-" + instance).toString());
        fields.put("bounds.retry_budget_ratio", "0.2");
        fields.put("bounds.retry_slack", "60");
        fields.put("bounds.config_apply_ms", "2000");
        fields.put("bounds.lease_ms", "3000");
        fields.put("bounds.quota_slack", "110000");
        return fields;
    }

    /** Fills in the template as the platform does, as far as this template needs it. */
    private static String render(String template, Map<String, String> fields) {
        String sections = SECTION.matcher(template).replaceAll(match -> Matcher.quoteReplacement(
                Optional.ofNullable(fields.get(match.group(1)))
                        .map(value -> match.group(2).replace("{{.}}", value))
                        .orElse("")));
        return VALUE.matcher(sections)
                .replaceAll(match -> Matcher.quoteReplacement(fields.getOrDefault(match.group(1), "")));
    }

    /** Returns the beginning of loopback addresses at which no other deployment runs. */
    private static String freeNetwork() {
        Random random = new Random();
        while (true) {
            String candidate = "127." + (50 + random.nextInt(100)) + "." + random.nextInt(250) + ".";
            try (ServerSocket socket = new ServerSocket(METRICS_PORT, 1, InetAddress.getByName(candidate + 1))) {
                return candidate;
            } catch (IOException inUse) {
                // Another one is tried.
            }
        }
    }

    private int[] freePorts(int number) throws IOException {
        int[] found = new int[number];
        for (int index = 0; index < number; index++) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip(1)))) {
                found[index] = socket.getLocalPort();
            }
        }
        if (Arrays.stream(found).distinct().count() < number) {
            return freePorts(number);
        }
        return found;
    }
}
